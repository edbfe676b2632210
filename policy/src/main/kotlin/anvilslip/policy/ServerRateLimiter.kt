package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Token buckets for the requests that the leader sends to servers that have named a limit. A bucket begins empty, or nearly so, since
 * instances that did not know of the limit, or a previous leader, may just have sent what it allows. What was sent to the server right
 * before its limit became known counts as well: if it was more than the limit allows, nothing is sent until that has passed.
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
    private val recentSends = HashMap<String, RecentSends>()

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

    /** Records that a request is sent to [server], whether or not it is limited. */
    fun recordSend(
        server: ServerReport,
        now: Duration,
    ) {
        recentSends.getOrPut(server.id) { RecentSends() }.record(now)
        val rate = rateOf(server) ?: return
        refilled(server, rate, now).level -= 1
    }

    private fun refilled(
        server: ServerReport,
        rate: Double,
        now: Duration,
    ): Bucket {
        val bucket = buckets.getOrPut(server.id) { Bucket(maxOf(now, limits.completeAt), firstLevel(server, rate, now)) }
        val elapsed = (now - bucket.updatedAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        bucket.level = minOf(1 + rate * BURST_SECONDS, bucket.level + rate * elapsed)
        bucket.updatedAt = maxOf(now, bucket.updatedAt)
        return bucket
    }

    /** Level of a new bucket: what a request needs after the first wait, less what was sent lately beyond what the limit allows. */
    private fun firstLevel(
        server: ServerReport,
        rate: Double,
        now: Duration,
    ): Double {
        val limit = limits.limitOf(server) ?: rate
        val excess = (recentSends[server.id]?.count(now) ?: 0) - (RECENT_REQUESTS + RECENT_SECONDS * limit)
        val level = (1 - rate * MAX_FIRST_WAIT_SECONDS).coerceAtLeast(0.0)
        return level - excess.coerceIn(0.0, rate * MAX_EXCESS_SECONDS)
    }

    /** Forgets what is known of servers that are not in [ids]. */
    fun retain(ids: Set<String>) {
        buckets.keys.retainAll(ids)
        recentSends.keys.retainAll(ids)
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

        /**
         * Requests and seconds of the limit that may have been sent within [RecentSends.WINDOW] before the limit is known. A server gets
         * at most 6 times its limit and 5 requests in 4 s, of which 3.5 times the limit and one request are left for the rest of that time.
         */
        const val RECENT_REQUESTS = 4
        const val RECENT_SECONDS = 2.5

        /** Longest additional wait because of what was sent before; after that it no longer counts. */
        const val MAX_EXCESS_SECONDS = 3.0

        /** Time for which unused requests are kept. */
        const val BURST_SECONDS = 0.5

        /** Rounding errors of the level, without which a request that returns in time could find no token. */
        const val ROUNDING = 1e-6
    }
}
