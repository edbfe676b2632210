package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sliding-window limit on the requests that the leader sends to a cold server, by the time at which each request is to be sent.
 *
 * A request arrives up to 1 s after its planned time, so the arrivals of any second come from a planned interval of 2 s. The limit per
 * planned second is therefore at most half of the bound. After a change of leader the first request to a cold server is planned more
 * than 1 s after the last one that the predecessor planned for it.
 *
 * @param hasPredecessor true if another leader may have sent requests just before [startedAt]
 */
internal class ColdStartLimiter(
    startedAt: Duration,
    hasPredecessor: Boolean,
) {
    private val sendTimes = HashMap<String, ArrayList<Duration>>()
    private val usedUpUntil = if (hasPredecessor) startedAt + MAX_HOLD + WINDOW else startedAt

    /** Records a request that is to be sent to [server] at [at], also if the server is warm, since it may become cold until then. */
    fun record(
        server: String,
        at: Duration,
        now: Duration,
    ) {
        val times = sendTimes.getOrPut(server) { ArrayList() }
        times.removeAll { it <= now - WINDOW }
        times += at
        if (sendTimes.size > MAX_SERVERS) sendTimes.values.removeAll { all -> all.all { it <= now - WINDOW } }
    }

    /** True if a request can be sent to the cold [server] at [at] so that no second has more than [limit] requests. */
    fun hasRoom(
        server: String,
        at: Duration,
        now: Duration,
        limit: Int,
    ): Boolean {
        if (limit < 1 || at < usedUpUntil || at - now > MAX_HOLD) return false
        val near = sendTimes[server].orEmpty().filter { it > at - WINDOW && it < at + WINDOW }
        val windowStarts = near.filter { it <= at } + at
        return windowStarts.all { start -> near.count { it >= start && it < start + WINDOW } < limit }
    }

    companion object {
        val WINDOW = 1.seconds

        /** Number of servers above which those without recent requests are forgotten. */
        const val MAX_SERVERS = 4_096

        /** Longest hold of a request for a cold server, so that the requests of a leader are sent soon after its term. */
        val MAX_HOLD = 500.milliseconds

        /** Requests per second to a cold server of [service]: what it tolerates, but at most half of the bound of [options]. */
        fun limit(
            service: BackendService,
            options: DispatchOptions,
        ): Int {
            val bound = service.coldRequestsPerSecond * options.coldOvershoot + options.coldSlack
            return minOf(service.coldRequestsPerSecond, bound / 2).toInt()
        }
    }
}
