package anvilslip.state

import kotlinx.serialization.Serializable

/** The answer to a non-idempotent request, returned again to repeated requests. [body] is null if it was too large to store. */
@Serializable
public data class StoredAnswer(
    val status: Int,
    val contentType: String?,
    val body: String?,
)
