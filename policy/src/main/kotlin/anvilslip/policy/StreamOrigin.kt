@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What generated the first event of a stream. Only servers of [service] that run [softwareVersion] may resume the stream. */
@Serializable
public data class StreamOrigin(
    @CborLabel(1) val service: String,
    /** Empty if the servers state no version. */
    @CborLabel(2) val softwareVersion: String,
)
