package anvilslip.state

import kotlinx.serialization.Serializable

/**
 * Identifies a non-idempotent request.
 *
 * @property workspace workspace of the caller; empty on routes that need no key
 * @property idempotencyKey key sent by the caller
 */
@Serializable
public data class ClaimKey(
    val workspace: String,
    val idempotencyKey: String,
)
