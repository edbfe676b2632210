package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Learns the time that engines take to load an adapter from the weight store at full speed, since no page of the configuration names it.
 * A request that finds its adapter not loaded yet shows that the estimate is too short; one that is answered, that it is long enough.
 */
internal class AdapterLoadTime(
    initial: Duration,
) {
    /** A load that an engine has accepted, and the factor by which concurrent loads make it slower. */
    class Started(
        val at: Duration,
        val slowdown: Double,
    )

    var estimate: Duration = initial
        private set

    /** Records that [load] was not complete when a request was sent at [sentAt]. */
    fun recordIncomplete(
        load: Started,
        sentAt: Duration,
    ) {
        // Requests that were sent at the same time after several loads raise the estimate only once.
        estimate = maxOf(estimate, (sentAt - load.at) / load.slowdown + RISE).coerceIn(MIN_ESTIMATE, MAX_ESTIMATE)
    }

    /** Records that a load was complete when its first request was sent. */
    fun recordComplete() {
        estimate = (estimate * FALL_FACTOR).coerceIn(MIN_ESTIMATE, MAX_ESTIMATE)
    }

    companion object {
        val MAX_ESTIMATE: Duration = 2.seconds
        private val MIN_ESTIMATE = 100.milliseconds

        /** Added to a load time that was too short. */
        private val RISE = 20.milliseconds

        /** Applied for each complete load; slow, since a request that is sent too early is lost or sent twice. */
        private const val FALL_FACTOR = 0.998
    }
}
