@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Progress of request [number], as reported by the entry instance that sent it. */
@Serializable
public data class RequestEvent(
    @CborLabel(1) val number: Long,
    @CborLabel(2) val step: RequestStep,
    /** Number of output tokens of an answer that has ended; null if it is not known. */
    @CborLabel(3) val outputTokens: Int? = null,
)
