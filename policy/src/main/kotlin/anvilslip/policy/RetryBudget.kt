package anvilslip.policy

import kotlin.time.Duration

/**
 * Limits the retries of one instance within a sliding [window] to [ratio] times the number of requests plus [reserve]. The budget
 * of all instances together is kept because each instance keeps its own part of it. Not thread-safe.
 *
 * @param reserve the current part of this instance, which changes with the number of instances
 */
public class RetryBudget(
    private val window: Duration,
    private val ratio: Double,
    private val reserve: () -> Double,
) {
    private val requests = ArrayDeque<Duration>()
    private val retries = ArrayDeque<Duration>()

    /** Records the first attempt of a request. */
    public fun recordRequest(now: Duration) {
        requests.addLast(now)
        evictExpired(requests, now)
    }

    /** Takes one retry from the budget. Returns false if the budget is exhausted. */
    public fun tryRetry(now: Duration): Boolean {
        evictExpired(requests, now)
        evictExpired(retries, now)
        if (retries.size + 1 > requests.size * ratio + reserve()) return false
        retries.addLast(now)
        return true
    }

    private fun evictExpired(
        times: ArrayDeque<Duration>,
        now: Duration,
    ) {
        while (times.isNotEmpty() && now - times.first() > window) times.removeFirst()
    }
}
