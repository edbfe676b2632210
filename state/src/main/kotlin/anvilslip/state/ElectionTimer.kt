package anvilslip.state

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when a replica that hears no leader stands for election. Timeouts are random, so that replicas rarely do so at once.
 *
 * @param firstElectionFrom time from which the first election may take place, because no leader that was elected earlier can hold a lease
 */
internal class ElectionTimer(
    options: ReplicaOptions,
    private val random: Random,
    firstElectionFrom: Duration,
) {
    private val timeout = options.electionTimeout
    private var deadline = firstElectionFrom + upTo(timeout) / 2

    /** Starts a new timeout at [now]. */
    fun restart(now: Duration) {
        deadline = now + timeout + upTo(timeout)
    }

    /** True if the timeout has passed. */
    fun isDue(now: Duration): Boolean = now >= deadline

    private fun upTo(max: Duration): Duration = random.nextInt(max.inWholeMilliseconds.toInt()).milliseconds
}
