@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** An entry of the replicated log. */
@Serializable
public data class LogEntry(
    @CborLabel(1) val index: Long,
    @CborLabel(2) val term: Long,
    @CborLabel(3) val payload: Payload,
)
