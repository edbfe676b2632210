@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Description that an entry instance reports to the control instances. */
@Serializable
public data class EntryInstance(
    /** Host of the peer address; identifies the instance to its peers. */
    @CborLabel(1) val host: String,
    /** Address for clients, as `host:port`. */
    @CborLabel(2) val clients: String,
    @CborLabel(3) val zone: String,
    @CborLabel(4) val region: String,
    /** True if clients may be directed to this instance. */
    @CborLabel(5) val ready: Boolean,
    /** Largest number of entry instances in use that a control instance has recently reported to this one; 0 if none has. */
    @CborLabel(6) val knownEntries: Int = 0,
    /** Processing capacity relative to other instances, for example its share of processor cores. */
    @CborLabel(7) val capacity: Double = 1.0,
)
