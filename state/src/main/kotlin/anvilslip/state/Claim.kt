package anvilslip.state

import kotlinx.serialization.Serializable

/**
 * Taken before a non-idempotent request is sent, so that the request runs at most once.
 *
 * @property digest digest of the request, to detect that its idempotency key is reused for another one
 * @property holder identifies the sender that took the claim
 * @property deadlineMillis time after which the outcome of a request without an answer is unknown
 * @property answer response to the request; null until it is stored
 */
@Serializable
public data class Claim(
    val digest: String,
    val holder: String,
    val takenMillis: Long,
    val deadlineMillis: Long,
    val answer: StoredAnswer? = null,
)
