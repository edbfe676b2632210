@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** The origin of a stream that its client may resume. */
@Serializable
public data class StreamRecord(
    /** ID of the client's attempt that delivered the first event. */
    @CborLabel(1) val attemptId: String,
    @CborLabel(2) val origin: StreamOrigin,
    /** Time in milliseconds for which the client may resume the stream. */
    @CborLabel(3) val remainingMillis: Long,
)
