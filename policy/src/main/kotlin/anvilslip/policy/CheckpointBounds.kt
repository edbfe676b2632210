package anvilslip.policy

/**
 * Bounds of what an owner may do with a bucket until its next checkpoint: it leaves at least [level] tokens and has at most
 * [outstanding] granted but not spent. [chunk] tokens may be granted.
 */
public data class CheckpointBounds(
    val level: Double,
    val outstanding: Double,
    val chunk: Double,
)
