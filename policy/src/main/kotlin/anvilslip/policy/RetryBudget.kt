package anvilslip.policy

import kotlin.time.Duration

/**
 * Bounds how many requests of one instance go to a second server: [ratio] of the requests of the last [window], and [reserve] more.
 * Since every instance keeps to its own part, all together keep to the whole. Not thread-safe.
 */
public class RetryBudget(
    private val window: Duration,
    private val ratio: Double,
    private val reserve: Double,
) {
    private val requests = ArrayDeque<Duration>()
    private val retries = ArrayDeque<Duration>()

    /** Counts a first attempt. */
    public fun recordRequest(now: Duration) {
        requests.addLast(now)
        drop(requests, now)
    }

    /** Takes one retry out of the budget; false when none is left. */
    public fun tryRetry(now: Duration): Boolean {
        drop(requests, now)
        drop(retries, now)
        if (retries.size + 1 > requests.size * ratio + reserve) return false
        retries.addLast(now)
        return true
    }

    private fun drop(
        times: ArrayDeque<Duration>,
        now: Duration,
    ) {
        while (times.isNotEmpty() && now - times.first() > window) times.removeFirst()
    }
}
