package anvilslip.state

import kotlinx.serialization.Serializable

/** Entry of the queue by which old claims are removed. */
@Serializable
public data class ClaimExpiryEntry(
    val key: ClaimKey,
    val takenMillis: Long,
)
