@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * An adapter version that an instance may use on a server. [placements] counts the decisions received under use lease
 * number [lease], so that a release cannot cross a decision on its way.
 */
@Serializable
public data class AdapterUse(
    @CborLabel(1) val server: String,
    @CborLabel(2) val adapter: AdapterVersion,
    /** Requests in flight from the instance. */
    @CborLabel(3) val inFlight: Int,
    @CborLabel(4) val placements: Long,
    @CborLabel(7) val lease: Long = 0,
    /** Requests started since the last report. */
    @CborLabel(5) val started: Int = 0,
    @CborLabel(6) val released: Boolean = false,
)
