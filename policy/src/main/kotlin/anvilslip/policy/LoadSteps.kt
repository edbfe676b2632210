package anvilslip.policy

/** The orders to send to a server to carry out a [LoadOrder]. */
public data class LoadSteps(
    /** Number of orders that the server has accepted so far. */
    val ordersTaken: Long,
    /** Adapter to unload first, or null if a slot is free. */
    val evict: String?,
)
