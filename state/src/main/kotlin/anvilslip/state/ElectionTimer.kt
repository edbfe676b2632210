package anvilslip.state

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when a replica that hears no leader asks for an election. Timeouts are random, so that replicas rarely do so at once.
 *
 * @param firstElectionFrom time from which the first election may take place, because no leader that was elected earlier can hold a lease
 */
internal class ElectionTimer(
    options: ReplicaOptions,
    private val random: Random,
    firstElectionFrom: Duration,
) {
    private val timeout = options.electionTimeout
    private val heartbeat = options.heartbeat
    private var deadline = firstElectionFrom

    /** Pause before the next pre-vote; doubles with each, since messages that are slow would otherwise pile up. */
    private var pause = heartbeat

    /** Starts a new timeout at [now]. */
    fun restart(now: Duration) {
        pause = heartbeat
        deadline = now + timeout + upTo(timeout)
    }

    /** Waits for the outcome of a pre-vote that was asked for at [now]; it changes nothing, so that it may be repeated soon. */
    fun awaitPreVote(now: Duration) {
        deadline = afterPause(now)
        pause = minOf(pause * 2, timeout)
    }

    /** Waits at least as long as [awaitPreVote] for the election of another replica. */
    fun yieldToPreVote(now: Duration) {
        deadline = maxOf(deadline, afterPause(now))
    }

    /** True if the timeout has passed. */
    fun isDue(now: Duration): Boolean = now >= deadline

    private fun afterPause(now: Duration): Duration = now + pause + upTo(pause)

    private fun upTo(max: Duration): Duration = random.nextInt(max.inWholeMilliseconds.toInt()).milliseconds
}
