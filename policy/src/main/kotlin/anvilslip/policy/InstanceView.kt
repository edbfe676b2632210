@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Description of an instance that is distributed to every instance. */
@Serializable
public data class InstanceView(
    @CborLabel(1) val name: String,
    @CborLabel(2) val zone: String,
    /** `host:port` for clients. */
    @CborLabel(3) val address: String,
    /** `host:port` for announcements of backend servers. */
    @CborLabel(4) val announcements: String = "",
    @CborLabel(5) val draining: Boolean = false,
)
