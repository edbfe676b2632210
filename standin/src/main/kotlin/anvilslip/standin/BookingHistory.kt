package anvilslip.standin

/** Outcomes that clients received and executions that services recorded for calls that must run at most once. */
public data class BookingHistory(
    /** Final outcome that the client of each booking received. */
    val outcomes: Map<String, Told>,
    /** All executed bookings, in the order of each service. */
    val executed: List<String>,
) {
    /** Final outcome of a booking as reported to its client. */
    public enum class Told {
        ANSWERED,
        NOT_RUN,
        UNKNOWN,
    }

    /**
     * Returns all violations: bookings that ran more than once, were answered but never ran, were reported as not run but ran, or
     * ran but were never sent.
     */
    public fun violations(): List<String> {
        val runs = executed.groupingBy { it }.eachCount()
        return outcomes.mapNotNull { (booking, outcome) -> violation(booking, outcome, runs[booking] ?: 0) } +
            (runs.keys - outcomes.keys).map { "$it ran but nobody asked for it" }
    }

    private fun violation(
        booking: String,
        outcome: Told,
        runs: Int,
    ): String? =
        when {
            runs > 1 -> "$booking ran $runs times"
            outcome == Told.ANSWERED && runs == 0 -> "$booking was answered but never ran"
            outcome == Told.NOT_RUN && runs > 0 -> "$booking was said not to have run but ran"
            else -> null
        }
}
