package anvilslip.state

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides when a replica that hears no leader stands for election. Timeouts are random, so that replicas rarely do so at once. */
internal class ElectionTimer(
    private val timeout: Duration,
    private val random: Random,
    now: Duration,
) {
    /**
     * The first timeout after a start is at least [timeout], since a leader elected earlier may still hold a lease, and shorter than
     * later ones, because after a common start all replicas have waited equally long.
     */
    private var deadline = now + timeout + (randomTimeout() - timeout) / 2

    /** Starts a new timeout at [now]. */
    fun restart(now: Duration) {
        deadline = now + randomTimeout()
    }

    /** True if the timeout has passed. */
    fun isDue(now: Duration): Boolean = now >= deadline

    private fun randomTimeout(): Duration = timeout + random.nextInt(timeout.inWholeMilliseconds.toInt()).milliseconds
}
