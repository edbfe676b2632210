package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Token buckets for the requests that the leader sends to servers that have named a limit. A bucket begins empty, since instances that
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
    ) {
        var level = 0.0
    }

    private val buckets = HashMap<String, Bucket>()

    /** Requests per second that are sent to [server]; null if it is not limited. */
    fun rateOf(server: ServerReport): Double? = limits.limitOf(server)?.coerceAtLeast(PROBE_RATE)

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
        val missing = 1 - refilled(server, rate, now).level
        return if (missing <= ROUNDING) Duration.ZERO else (missing / rate).seconds
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
        val bucket = buckets.getOrPut(server.id) { Bucket(now) }
        val elapsed = (now - bucket.updatedAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        bucket.level = minOf(1 + rate * BURST_SECONDS, bucket.level + rate * elapsed)
        bucket.updatedAt = now
        return bucket
    }

    /** Forgets the buckets of servers that are not in [reports]. */
    fun retain(reports: List<ServerReport>) {
        if (buckets.isNotEmpty()) buckets.keys.retainAll(reports.map { it.id }.toSet())
    }

    private companion object {
        /** Rate at which a server gets requests although its limit is lower, so that the end of the limit is noticed. */
        const val PROBE_RATE = 0.25

        /** Time for which unused requests are kept. */
        const val BURST_SECONDS = 0.5

        /** Rounding errors of the level, without which a request that returns in time could find no token. */
        const val ROUNDING = 1e-6
    }
}
