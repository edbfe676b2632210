package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Registry of the backend servers, built from their reports. Soft state: reports may arrive late, repeatedly, out of order, from a
 * process that has ended, or relayed by other instances. Not thread-safe.
 */
public class FleetTable {
    /** Effect of a report on the table. */
    public enum class Change {
        /** The report is outdated or contradicts newer information. */
        NONE,

        /** The server is alive and its state is unchanged. */
        REFRESHED,

        /** The state of the server changed; other instances should be notified immediately. */
        CHANGED,
    }

    private class Entry(
        val report: ServerReport,
        val receivedAt: Duration,
        val revision: Long,
        /** Revision at which the state of the server last changed. */
        val changedRevision: Long,
        /** Revision and time at which the list of adapters was last due for distribution. */
        val adaptersRevision: Long,
        val adaptersTime: Duration,
        val direct: Boolean,
    )

    private val entries = LinkedHashMap<String, Entry>()
    private val versions = ServiceVersions()

    /** Increases with each report that is applied. */
    public var revision: Long = 0
        private set

    /** Applies [report]; [direct] is true if the server sent it to this instance, false if it was relayed. */
    public fun applyReport(
        report: ServerReport,
        direct: Boolean,
        now: Duration,
    ): Change {
        val known = entries[report.id]
        if (known != null && !report.isNewerThan(known.report)) return Change.NONE
        if (known != null && known.report.startedAtMillis == report.startedAtMillis && known.report.phase > report.phase) return Change.NONE
        if (report.phase != ServerPhase.GONE && isSuperseded(report)) return Change.NONE
        entries.values.removeAll {
            it.report.address == report.address && it.report.id != report.id &&
                report.startedAtMillis > it.report.startedAtMillis
        }
        versions.record(report.service, report.softwareVersion, now)
        revision++
        val unchanged = known != null && known.report.hasSameState(report)
        val adaptersDue = !unchanged || (known.report.models != report.models && now - known.adaptersTime >= DETAIL_INTERVAL)
        entries[report.id] =
            Entry(
                report = report,
                receivedAt = now,
                revision = revision,
                changedRevision = if (unchanged) known.changedRevision else revision,
                adaptersRevision = if (adaptersDue) revision else known.adaptersRevision,
                adaptersTime = if (adaptersDue) now else known.adaptersTime,
                direct = direct,
            )
        return if (unchanged) Change.REFRESHED else Change.CHANGED
    }

    /** Deregisters the process of server [id] that started at [startedAtMillis]; does nothing if a later one has reported since. */
    public fun deregister(
        id: String,
        startedAtMillis: Long,
        now: Duration,
    ): Change {
        val known = entries[id]?.report
        val last = known ?: ServerReport(id, "", "", "", ServerPhase.READY, startedAtMillis)
        val gone = last.copy(phase = ServerPhase.GONE, startedAtMillis = startedAtMillis, sequence = Long.MAX_VALUE)
        return applyReport(gone, direct = true, now)
    }

    /** Records that another instance received the report [version] of server [id], which contained no change. */
    public fun refresh(
        id: String,
        version: ReportVersion,
        now: Duration,
    ) {
        val known = entries[id]?.takeIf { it.report.startedAtMillis == version.startedAtMillis } ?: return
        if (version.sequence <= known.report.sequence) return
        val report = known.report.copy(sequence = version.sequence)
        versions.record(report.service, report.softwareVersion, now)
        entries[id] = Entry(report, now, ++revision, known.changedRevision, known.adaptersRevision, known.adaptersTime, direct = false)
    }

    /**
     * Reports of servers that changed after revision [since]; with [directOnly], only of servers that report to this instance.
     * For servers that report here, changes of their adapters alone are included periodically.
     */
    public fun changesSince(
        since: Long,
        directOnly: Boolean,
    ): List<ServerReport> = entries.values.filter { isChangedSince(it, since, directOnly) }.map { it.report }

    private fun isChangedSince(
        entry: Entry,
        since: Long,
        directOnly: Boolean,
    ): Boolean = (entry.changedRevision > since && (entry.direct || !directOnly)) || (entry.direct && entry.adaptersRevision > since)

    /** The latest of the unchanged reports, by server, that servers sent to this instance after revision [since]. */
    public fun refreshedSince(since: Long): Map<String, ReportVersion> =
        entries.values
            .filter { it.direct && it.revision > since && !isChangedSince(it, since, directOnly = true) }
            .associate { it.report.id to ReportVersion(it.report.startedAtMillis, it.report.sequence) }

    /** True if a server changed after revision [since]; with [directOnly], only servers that report to this instance count. */
    public fun hasChangedSince(
        since: Long,
        directOnly: Boolean,
    ): Boolean = entries.values.any { it.changedRevision > since && (it.direct || !directOnly) }

    /** Software versions of the servers of [service] that have reported since [since], also of those that have left. */
    public fun softwareVersions(
        service: String,
        since: Duration,
    ): Set<String> = versions.reportedSince(service, since)

    /** Servers that have not signed off and whose last report is at most [timeout] old. */
    public fun aliveServers(
        now: Duration,
        timeout: Duration,
    ): List<ServerReport> =
        entries.values.filter { it.report.phase != ServerPhase.GONE && now - it.receivedAt <= timeout }.map { it.report }

    /** The last report of server [id], or null if the server is not known. */
    public operator fun get(id: String): ServerReport? = entries[id]?.report

    /** Evicts servers that have been silent for so long that none of their reports can still be in flight. */
    public fun evictExpired(now: Duration) {
        entries.values.removeAll { now - it.receivedAt > RETENTION }
    }

    /** True if a server that started later uses the address of [report]. */
    private fun isSuperseded(report: ServerReport): Boolean =
        entries.values.any {
            it.report.address == report.address && it.report.id != report.id &&
                it.report.startedAtMillis > report.startedAtMillis
        }

    private companion object {
        /** Other instances need the adapters only while no leader is reachable, so they are distributed infrequently. */
        val DETAIL_INTERVAL = 4.seconds
        val RETENTION = 10.minutes
    }
}
