package anvilslip.gateway

/** Synthetic exchanges that have the code of a kind of exchange loaded and compiled. */
public fun interface WarmUpWork {
    /** Runs the exchanges in small batches, and releases all resources before it returns or throws, also if it is cancelled. */
    public suspend fun run(): Result

    /** Number of exchanges that were begun, and of those that had the expected answer. */
    public data class Result(
        val exchanges: Int,
        val succeeded: Int,
    )
}
