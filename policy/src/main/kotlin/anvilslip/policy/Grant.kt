@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Tokens of a workspace that one instance may spend within [TokenBucket.GRANT_LIFETIME] of its request. [epoch] identifies the
 * ledger of the bucket owner, which ignores usage reported for another epoch.
 */
@Serializable
public data class Grant(
    @CborLabel(1) val epoch: Long,
    @CborLabel(2) val tokens: Double,
    /** Delay in milliseconds before the next request if [tokens] are too few. */
    @CborLabel(3) val retryAfterMillis: Long = 0,
)
