package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Counts the requests that engines get while they name the limit of [load], and compares them with what the limit allows. */
internal class EngineLimitCheck(
    private val load: DispatchLoad,
) {
    private val arrivals = HashMap<String, ArrayList<Duration>>()

    /** Records that a request reaches [engine], which names a limit, at [at]. */
    fun recordArrival(
        engine: String,
        at: Duration,
    ) {
        arrivals.getOrPut(engine) { ArrayList() } += at
    }

    /** Requests of any engine in four seconds beyond what is allowed, for the worst such time; 0 if there were none. */
    fun worstExcess(): Double {
        val from = (load.limitFrom ?: return 0.0) + CONTACT_TIME
        val allowed = FACTOR * load.limit * WINDOW.toDouble(DurationUnit.SECONDS) + TOLERANCE
        val counts =
            arrivals.values.map { all -> all.filter { it >= from } }.flatMap { bound ->
                bound.map { start -> bound.count { it >= start && it <= start + WINDOW } }
            }
        return maxOf(0.0, (counts.maxOrNull() ?: 0) - allowed)
    }

    private companion object {
        /** Time after the first answer with a limit from which on the limit must be kept. */
        val CONTACT_TIME = 3.seconds
        val WINDOW = 4.seconds
        const val FACTOR = 1.5
        const val TOLERANCE = 5
    }
}
