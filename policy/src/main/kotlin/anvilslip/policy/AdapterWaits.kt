package anvilslip.policy

import anvilslip.kernel.LruMap
import anvilslip.state.AdapterName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Since when the requests for each adapter have been refused without one that was served. Popular adapters keep the engines and their
 * adapter slots busy all the time, so that an adapter that is requested seldom would never be loaded under overload. Not thread-safe.
 */
internal class AdapterWaits {
    private val refusedSince = LruMap<AdapterName, Duration>(MAX_ADAPTERS)
    private var turns = 1.0
    private var turnsAt = Duration.ZERO

    /** Number of engines. */
    var engines: Int = 0

    /** Records that a request for [adapter] was refused. */
    fun recordRefused(
        adapter: AdapterName,
        now: Duration,
    ) {
        refusedSince.getOrPut(adapter) { now }
    }

    /** Records that a request for [adapter] was sent to an engine. */
    fun recordSent(
        adapter: AdapterName,
        now: Duration,
    ) {
        val since = refusedSince.remove(adapter) ?: return
        if (now - since < OVERDUE_AFTER) return
        turns = turnsAt(now) - 1
        turnsAt = now
    }

    /**
     * True if [adapter] has been refused for so long that its next request takes precedence over those of popular adapters. So many have it
     * at a time that popular adapters are still served.
     */
    fun isOverdue(
        adapter: AdapterName,
        now: Duration,
    ): Boolean = (refusedSince[adapter]?.let { now - it >= OVERDUE_AFTER } ?: false) && turnsAt(now) >= 0

    /** Requests of overdue adapters that may be sent now. */
    private fun turnsAt(now: Duration): Double {
        val rate = engines * TURNS_PER_ENGINE
        return minOf(maxOf(1.0, rate), turns + rate * (now - turnsAt).toDouble(DurationUnit.SECONDS))
    }

    private companion object {
        /** Bounds memory; the adapters that were not requested for the longest time are forgotten. */
        const val MAX_ADAPTERS = 4_096

        /** Long enough that an adapter which is requested once is seldom overdue when that client comes back. */
        val OVERDUE_AFTER = 3.seconds

        /** Requests a second for overdue adapters that take precedence, per engine. */
        const val TURNS_PER_ENGINE = 0.6
    }
}
