package anvilslip.policy

/** What is left to do for a [LoadOrder] as its turn comes. */
public data class LoadSteps(
    /** Orders that the server has taken so far. */
    val ordersTaken: Long,
    /** Adapter to drop first; null when there is room. */
    val evict: String?,
)
