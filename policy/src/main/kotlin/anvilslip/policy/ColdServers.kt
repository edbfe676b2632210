package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks until when servers are cold: after they start, as they report, and after an evacuation of their zone ends. The later end
 * counts, and no report of the same process shortens it. Thread-safe.
 */
public class ColdServers {
    private class KnownServer(
        val startedAtMillis: Long,
        val coldMillis: Long,
        val coldUntil: Duration,
    )

    private val servers = HashMap<String, KnownServer>()
    private val zonesReturnedAt = HashMap<String, Duration>()

    /** Applies [report], received at [now]. */
    @Synchronized
    public fun observe(
        report: ServerReport,
        now: Duration,
    ) {
        val known = servers[report.id]?.takeIf { it.startedAtMillis >= report.startedAtMillis }
        if (known != null && (known.startedAtMillis > report.startedAtMillis || known.coldMillis == report.coldMillis)) return
        val end = now + report.coldMillis.milliseconds
        servers[report.id] = KnownServer(report.startedAtMillis, report.coldMillis, maxOf(end, known?.coldUntil ?: end))
        if (servers.size > MAX_SERVERS) servers.values.removeAll { now >= it.coldUntil }
    }

    /** Makes all servers of [zone] cold for the cold start of their service, because its evacuation has ended. */
    @Synchronized
    public fun markZoneCold(
        zone: String,
        now: Duration,
    ) {
        zonesReturnedAt[zone] = maxOf(now, zonesReturnedAt[zone] ?: now)
    }

    /** True if [server] tolerates only few requests at [now]; never for a [service] without a limit for cold servers. */
    @Synchronized
    public fun isCold(
        server: ServerReport,
        service: BackendService?,
        now: Duration,
    ): Boolean {
        if (service == null || service.coldRequestsPerSecond <= 0) return false
        val zoneColdUntil = zonesReturnedAt[server.zone]?.plus(service.coldStart)
        if (zoneColdUntil != null && now < zoneColdUntil) return true
        return now < (servers[server.id]?.coldUntil ?: return false)
    }

    private companion object {
        /** Number of servers above which those that are warm are forgotten. */
        const val MAX_SERVERS = 4_096
    }
}
