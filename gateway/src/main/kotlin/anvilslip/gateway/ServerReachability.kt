package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whether this instance can open connections to backend servers. It counts as isolated once connections to several servers have failed
 * with none in between that was established: one server may be down, but several that fail one after the other point to this instance's
 * own links. What open connections carry does not count, since they may live on while new ones are refused. Thread-safe.
 */
public class ServerReachability(
    private val clock: Clock,
    /** Number of backend servers that may be connected to. */
    private val serverCount: () -> Int,
) {
    private val log = EventLogger("servers")
    private val failedAt = HashMap<String, Duration>()
    private val awaiting = HashMap<Any, Duration>()
    private var answeredAt = Duration.ZERO
    private var checkedAt = -CHECK_INTERVAL

    /** True while no server can be connected to, as far as this instance knows. */
    @Volatile
    public var isIsolated: Boolean = false
        private set

    /** Records that connecting to the server at [address] has succeeded or failed. */
    @Synchronized
    public fun recordConnect(
        address: String,
        isConnected: Boolean,
    ) {
        val now = clock.elapsed()
        if (isConnected) {
            failedAt.clear()
            return setIsolated(false)
        }
        failedAt.values.removeAll { now - it > FAILURE_RETENTION }
        failedAt[address] = now
        if (failedAt.size >= minOf(ISOLATING_FAILURES, serverCount())) setIsolated(true)
    }

    /** Records that an answer to [request] is awaited. */
    @Synchronized
    internal fun recordSent(request: Any) {
        awaiting[request] = clock.elapsed()
    }

    /** Records that [request] is answered or has failed; an answer shows that those sent before it are not held up by the links. */
    @Synchronized
    internal fun recordEnded(
        request: Any,
        isAnswered: Boolean,
    ) {
        awaiting.remove(request)
        if (isAnswered) answeredAt = clock.elapsed()
    }

    /** True if it must be checked now whether servers can be connected to. */
    @Synchronized
    internal fun isCheckDue(): Boolean {
        val now = clock.elapsed()
        val isDoubtful = isIsolated || awaiting.values.any { now - maxOf(it, answeredAt) > SILENCE }
        if (!isDoubtful || now - checkedAt < CHECK_INTERVAL) return false
        checkedAt = now
        return true
    }

    private fun setIsolated(next: Boolean) {
        if (next == isIsolated) return
        isIsolated = next
        log.info(if (next) "servers_unreachable" else "servers_reachable", "failed" to failedAt.keys.joinToString(","))
    }

    public companion object {
        /** Servers to which connections must fail. */
        internal const val ISOLATING_FAILURES: Int = 3

        /** Time after which a failure no longer counts together with later ones. */
        private val FAILURE_RETENTION = 3.seconds

        /** Time without any answer from which on open connections may have gone silent; longer than the target of most requests. */
        private val SILENCE = 1200.milliseconds
        private val CHECK_INTERVAL = 500.milliseconds
    }
}
