package anvilslip.state

import kotlinx.serialization.Serializable

/**
 * Limits how many tokens of a workspace the leader may grant before its next checkpoint, so that a new leader can assume
 * the worst case.
 *
 * @property level lower bound for the tokens left in the bucket
 * @property outstanding upper bound for the tokens that are granted but not yet spent
 */
@Serializable
public data class BucketCheckpoint(
    val level: Double,
    val outstanding: Double,
)
