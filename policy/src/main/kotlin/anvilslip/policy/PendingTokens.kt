package anvilslip.policy

/** Prompt tokens that a server has not processed yet, counted by the priority of their requests. */
internal class PendingTokens {
    private val byPriority = IntArray(PRIORITIES)

    /** Tokens of all priorities. */
    var total: Int = 0
        private set

    /** Adds [tokens], which may be negative, for a request of [priority]. */
    fun add(
        priority: Int,
        tokens: Int,
    ) {
        byPriority[index(priority)] += tokens
        total += tokens
    }

    /** Tokens that a server processes before those of a new request of [priority]. */
    fun upTo(priority: Int): Int {
        if (priority >= LEAST_URGENT) return total
        var tokens = 0
        for (i in 0..index(priority)) tokens += byPriority[i]
        return tokens
    }

    companion object {
        /** Number of priorities that are told apart; less urgent ones count as the least urgent of them. */
        const val PRIORITIES = 16

        /** The least urgent priority, before which all pending tokens are processed. */
        const val LEAST_URGENT = PRIORITIES - 1

        fun index(priority: Int): Int = priority.coerceIn(0, LEAST_URGENT)
    }
}
