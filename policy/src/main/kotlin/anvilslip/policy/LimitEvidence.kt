package anvilslip.policy

/**
 * The statements of one server process about its limit that may be the latest. Answers overtake each other, so a statement replaces
 * another only if its request was issued after the other had been learnt. Of those whose order is not known, the lowest limit counts.
 *
 * Positions may be times or sequence numbers, as long as all are of the same clock or counter.
 */
internal class LimitEvidence {
    private class Entry(
        val statement: LimitStatement,
        val learnedAt: Long,
    )

    private val entries = ArrayList<Entry>(1)

    val statements: List<LimitStatement> get() = entries.map { it.statement }

    /** True if a statement has been added whose request was issued at a known position. */
    var hasOrderedStatement = false
        private set

    /** The limit in requests per second that counts; null if the server names none. */
    val limit: Double? get() = entries.minOfOrNull { it.statement.limit ?: Double.POSITIVE_INFINITY }?.takeIf { it.isFinite() }

    /** Adds [statement], whose request was issued at position [issuedAt] and whose answer was learnt at [learnedAt]. */
    fun add(
        statement: LimitStatement,
        issuedAt: Long,
        learnedAt: Long,
    ) {
        if (issuedAt > 0) hasOrderedStatement = true
        entries.removeAll { it.learnedAt < issuedAt }
        entries += Entry(statement, learnedAt)
        if (entries.size > MAX_ENTRIES) keepLowest(learnedAt)
    }

    /** Replaces all statements by the lowest, which then counts until a request that is issued after all of them is answered. */
    private fun keepLowest(learnedAt: Long) {
        val lowest = entries.minBy { it.statement.limit ?: Double.POSITIVE_INFINITY }
        entries.clear()
        entries += Entry(lowest.statement, learnedAt)
    }

    private companion object {
        const val MAX_ENTRIES = 16
    }
}
