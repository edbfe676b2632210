@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Use of an adapter version on a server by one instance. [placements] is the number of placements received under use lease number
 * [lease]; a release is ignored while a further placement is still on its way to the instance.
 */
@Serializable
public data class AdapterUse(
    @CborLabel(1) val server: String,
    @CborLabel(2) val adapter: AdapterVersion,
    /** Requests of the instance in flight. */
    @CborLabel(3) val inFlight: Int,
    @CborLabel(4) val placements: Long,
    @CborLabel(7) val lease: Long = 0,
    /** Requests started since the last report. */
    @CborLabel(5) val started: Int = 0,
    @CborLabel(6) val released: Boolean = false,
)
