@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Approximate size of an entry without the content that came from outside. */
private const val FIXED_BYTES = 256

/** An entry of the replicated log. */
@Serializable
public data class LogEntry(
    @CborLabel(1) val index: Long,
    @CborLabel(2) val term: Long,
    @CborLabel(3) val payload: Payload,
) {
    /** Approximate size in bytes, in memory as well as encoded. */
    public val sizeBytes: Int get() = FIXED_BYTES + payload.contentBytes
}
