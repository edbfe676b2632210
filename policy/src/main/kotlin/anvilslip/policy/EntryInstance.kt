@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** An entry instance as it reports itself to control instances. */
@Serializable
public data class EntryInstance(
    /** Host of its peer address; its name between instances. */
    @CborLabel(1) val host: String,
    /** Where clients connect, as `host:port`. */
    @CborLabel(2) val clients: String,
    @CborLabel(3) val zone: String,
    @CborLabel(4) val region: String,
    /** True while clients are to be sent to it. */
    @CborLabel(5) val ready: Boolean,
)
