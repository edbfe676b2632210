package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.LimitGrant
import anvilslip.policy.ServerIncarnation
import anvilslip.policy.ServerPhase
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The backend servers that want no requests from this instance, as they said in their answers: those that are leaving, and those that
 * asked for a pause; and those that lately sent an answer without end. This holds without a leader or another instance, and ends when the
 * server starts anew. Thread-safe.
 */
public class ServerAvailability(
    private val clusterView: ClusterView,
    private val clock: Clock,
) {
    private class Absence(
        val until: Duration,
        val isLeaving: Boolean,
    )

    private val log = EventLogger("servers")
    private val absences = ConcurrentHashMap<ServerIncarnation, Absence>()

    /** Until when servers that sent an answer without end are avoided. */
    private val avoidances = ConcurrentHashMap<ServerIncarnation, Duration>()

    /** Servers to which this instance must not send requests now. */
    public val unavailable: Set<String>
        get() = if (absences.isEmpty()) emptySet() else absences.keys.filter(::isAbsent).mapTo(HashSet()) { it.server }

    /** True if this instance must not send requests to [server] now. */
    public fun isUnavailable(server: String): Boolean = absences.isNotEmpty() && isAbsent(incarnationOf(server))

    /**
     * Servers of [service] that lately sent an answer without end, and so should get no requests that others can serve. Empty if these are all
     * that are ready.
     */
    public fun avoided(service: String): Set<String> {
        if (avoidances.isEmpty()) return emptySet()
        val now = clock.elapsed()
        avoidances.values.removeIf { it <= now }
        val ready = clusterView.servers().filter { it.service == service && it.phase == ServerPhase.READY && !isUnavailable(it.id) }
        val avoided = ready.map { it.id }.filterTo(HashSet()) { avoidances.containsKey(incarnationOf(it)) }
        return if (avoided.size < ready.size) avoided else emptySet()
    }

    /** Records that [incarnation] sent an answer without end. */
    internal fun recordEndlessAnswer(incarnation: ServerIncarnation) {
        if (avoidances.put(incarnation, clock.elapsed() + AVOIDANCE) != null) return
        log.info(
            "server_avoided",
            "server" to incarnation.server,
            "started" to incarnation.startedAtMillis,
            "for_ms" to AVOIDANCE.inWholeMilliseconds,
        )
    }

    /**
     * Time until the first server of [service] that asked for a pause takes requests again; null if one takes them now, or none has asked
     * for a pause.
     */
    public fun timeUntilAvailable(service: String): Duration? {
        if (absences.isEmpty()) return null
        val ready = clusterView.servers().filter { it.service == service && it.phase == ServerPhase.READY }
        val servers = ready.filterNot(clusterView::isEvacuated)
        if (servers.any { !isUnavailable(it.id) }) return null
        val ends = servers.mapNotNull { absences[incarnationOf(it.id)] }.filter { !it.isLeaving }.map { it.until }
        return ends.minOrNull()?.let { it - clock.elapsed() }
    }

    /** The present incarnation of [server], to be remembered when a request is sent. */
    internal fun incarnationOf(server: String) = ServerIncarnation(server, clusterView.server(server)?.startedAtMillis ?: 0)

    /** Records the [notice] in an answer of [incarnation]. */
    internal fun record(
        incarnation: ServerIncarnation,
        notice: ServerNotice,
    ) {
        val pause = notice.pause?.takeIf { it.isPositive() }
        if (!notice.isLeaving && pause == null) return
        val now = clock.elapsed()
        absences.values.removeAll { it.until <= now }
        val until = now + if (notice.isLeaving) LEAVING_RETENTION else pause!!
        val before = absences[incarnation]
        // Answers may arrive in another order than the server gave them, so a later one shortens no absence.
        absences.merge(incarnation, Absence(until, notice.isLeaving)) { known, next -> if (next.until > known.until) next else known }
        if (before == null || (notice.isLeaving && !before.isLeaving)) logAbsence(incarnation, notice)
    }

    /** Records what an answer of [incarnation] to a request sent at [sentAt] says about the limit of the server. */
    internal fun recordLimit(
        incarnation: ServerIncarnation,
        notice: LimitNotice,
        grant: LimitGrant?,
        sentAt: Duration,
    ) {
        val limit =
            when (notice) {
                LimitNotice.Unknown -> return
                LimitNotice.None -> null
                is LimitNotice.Named -> notice.requestsPerSecond
            }
        val limits = clusterView.serverLimits
        if (!limits.record(incarnation, limit, grant, sentAt, clock.elapsed())) return
        log.info(
            "server_limited",
            "server" to incarnation.server,
            "started" to incarnation.startedAtMillis,
            "limit" to (limits.limitOf(incarnation) ?: "none"),
        )
    }

    /** True if [server] has named a limit since [askedAt], when the admission of a request was asked for that was decided without it. */
    internal fun isLimitedSince(
        server: String,
        askedAt: Duration,
    ): Boolean = clusterView.serverLimits.isLimitedSince(incarnationOf(server), askedAt)

    private fun isAbsent(incarnation: ServerIncarnation): Boolean {
        val absence = absences[incarnation] ?: return false
        return clock.elapsed() < absence.until && incarnation == incarnationOf(incarnation.server)
    }

    private fun logAbsence(
        incarnation: ServerIncarnation,
        notice: ServerNotice,
    ) = log.info(
        "server_unavailable",
        "server" to incarnation.server,
        "started" to incarnation.startedAtMillis,
        "leaving" to notice.isLeaving,
        "pause_ms" to notice.pause?.inWholeMilliseconds,
    )

    private companion object {
        /** Longer than a server that is leaving goes on to answer. */
        val LEAVING_RETENTION = 10.minutes

        /** Each answer without end takes a second or more of the instance's link; a server that is sound again is soon used. */
        val AVOIDANCE = 3.seconds
    }
}
