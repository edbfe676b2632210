package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Token buckets for the requests that the leader sends to servers that have named a limit. A bucket begins empty, or nearly so, since instances that
 * did not know of the limit, or a previous leader, may just have sent what it allows.
 *
 * In any 4 s a bucket grants 4.5 times the limit and one request more. What is granted reaches the server up to 1 s later than planned,
 * so that it gets at most 5.5 times the limit and one request in 4 s.
 */
internal class ServerRateLimiter(
    private val limits: ReportedLimits,
) {
    private class Bucket(
        var updatedAt: Duration,
        var level: Double,
    )

    private val buckets = HashMap<String, Bucket>()

    /** Requests per second that are sent to [server]; null if it is not limited. */
    fun rateOf(server: ServerReport): Double? {
        val limit = limits.limitOf(server) ?: return null
        return (if (limits.isConfirmed(server)) limit else minOf(limit, UNCONFIRMED_RATE)).coerceAtLeast(PROBE_RATE)
    }

    /** Time until a request may be sent to [server]; zero if it is not limited. */
    fun waitTime(
        server: ServerReport,
        now: Duration,
    ): Duration {
        val rate = rateOf(server)
        if (rate == null) {
            if (buckets.isNotEmpty()) buckets -= server.id
            return Duration.ZERO
        }
        val bucket = refilled(server, rate, now)
        val missing = 1 - bucket.level
        return if (missing <= ROUNDING) Duration.ZERO else bucket.updatedAt - now + (missing / rate).seconds
    }

    /** Records that a request is sent to [server]. */
    fun recordSend(
        server: ServerReport,
        now: Duration,
    ) {
        val rate = rateOf(server) ?: return
        refilled(server, rate, now).level -= 1
    }

    private fun refilled(
        server: ServerReport,
        rate: Double,
        now: Duration,
    ): Bucket {
        val bucket =
            buckets.getOrPut(server.id) {
                Bucket(maxOf(now, limits.completeAt), level = (1 - rate * MAX_FIRST_WAIT_SECONDS).coerceAtLeast(0.0))
            }
        val elapsed = (now - bucket.updatedAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        bucket.level = minOf(1 + rate * BURST_SECONDS, bucket.level + rate * elapsed)
        bucket.updatedAt = maxOf(now, bucket.updatedAt)
        return bucket
    }

    /** Forgets the buckets of servers that are not in [reports]. */
    fun retain(reports: List<ServerReport>) {
        if (buckets.isNotEmpty()) buckets.keys.retainAll(reports.map { it.id }.toSet())
    }

    private companion object {
        /** Rate at which a server gets requests although its limit is lower, so that the end of the limit is noticed. */
        const val PROBE_RATE = 0.25

        /**
         * Highest rate until the first request that this leader granted is answered. The limit may have fallen since it was named, while there
         * was no leader and nothing was sent.
         */
        const val UNCONFIRMED_RATE = 4.0

        /**
         * Longest time until the first request. A new leader may be told of a limit that has ended, by instances that have sent nothing to
         * the server since, and the answer to the first request shows it.
         */
        const val MAX_FIRST_WAIT_SECONDS = 1.0

        /** Time for which unused requests are kept. */
        const val BURST_SECONDS = 0.5

        /** Rounding errors of the level, without which a request that returns in time could find no token. */
        const val ROUNDING = 1e-6
    }
}
