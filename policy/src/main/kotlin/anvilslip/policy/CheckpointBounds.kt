package anvilslip.policy

/**
 * Checkpoint of a [TokenBucket]. Until the next checkpoint the owner may grant [chunk] tokens, so that the bucket keeps at least
 * [level] tokens and at most [outstanding] tokens are granted but not yet spent.
 */
public data class CheckpointBounds(
    val level: Double,
    val outstanding: Double,
    val chunk: Double,
)
