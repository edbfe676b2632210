package anvilslip.state

import kotlinx.serialization.Serializable

/** When a claim was taken, for its expiry. */
@Serializable
public data class ClaimExpiryEntry(
    val key: ClaimKey,
    val takenMillis: Long,
)
