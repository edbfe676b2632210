@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** State that a backend server reports about itself at least once a second. */
@Serializable
public data class Announcement(
    @CborLabel(1) val server: String,
    /** Changes with each restart of the server. */
    @CborLabel(2) val incarnation: String,
    @CborLabel(3) val kind: BackendKind,
    /** Base model of a model engine, or name of a plain service. */
    @CborLabel(4) val serves: String,
    /** `host:port` for requests and orders. */
    @CborLabel(5) val address: String,
    @CborLabel(6) val zone: String,
    @CborLabel(7) val slots: Int = 0,
    /** Requests that the server can run concurrently at full speed. */
    @CborLabel(8) val batch: Int = 1,
    /** True when the server rejects orders with an outdated fencing token. */
    @CborLabel(9) val checksFencing: Boolean = false,
    @CborLabel(10) val loaded: List<AdapterVersion> = emptyList(),
    /** Running requests per adapter version, as counted by the server. */
    @CborLabel(11) val running: Map<AdapterVersion, Int> = emptyMap(),
    @CborLabel(12) val leaving: Boolean = false,
)
