package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The backend servers as known from their reports. Soft state: reports may come late, twice, out of order or from a process
 * that has ended, and by way of other instances. Not thread-safe.
 */
public class FleetTable {
    /** What a report changed. */
    public enum class Change {
        /** It was old or contradicts newer knowledge. */
        NONE,

        /** The server is alive, and as it was. */
        REFRESHED,

        /** Others should hear of it at once. */
        CHANGED,
    }

    private class Entry(
        val report: ServerReport,
        val heardAt: Duration,
        val revision: Long,
        /** Revision at which it last became other than it was. */
        val changedAt: Long,
        /** Revision and time at which it was last told in full with the adapters it holds. */
        val detailedAt: Long,
        val detailTime: Duration,
        val direct: Boolean,
    )

    private val entries = LinkedHashMap<String, Entry>()

    /** Grows with each report that is taken in. */
    public var revision: Long = 0
        private set

    /** Takes in [report]; [direct] when the server itself sent it here. */
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
        revision++
        val same = known != null && known.report.hasSameState(report)
        val detail = !same || (known.report.models != report.models && now - known.detailTime >= DETAIL_INTERVAL)
        entries[report.id] =
            Entry(
                report = report,
                heardAt = now,
                revision = revision,
                changedAt = if (same) known.changedAt else revision,
                detailedAt = if (detail) revision else known.detailedAt,
                detailTime = if (detail) now else known.detailTime,
                direct = direct,
            )
        return if (same) Change.REFRESHED else Change.CHANGED
    }

    /** Takes in that the server [id] has signed off; [startedAtMillis] is used when it was not known. */
    public fun deregister(
        id: String,
        startedAtMillis: Long,
        now: Duration,
    ): Change {
        val known = entries[id]?.report
        if (known?.phase == ServerPhase.GONE) return Change.NONE
        val last = known ?: ServerReport(id, "", "", "", ServerPhase.READY, startedAtMillis)
        return applyReport(last.copy(phase = ServerPhase.GONE, sequence = Long.MAX_VALUE), direct = true, now)
    }

    /** Takes in that server [id] was heard of elsewhere, and said nothing new with its report [sequence]. */
    public fun refresh(
        id: String,
        sequence: Long,
        now: Duration,
    ) {
        val known = entries[id] ?: return
        if (sequence <= known.report.sequence) return
        val report = known.report.copy(sequence = sequence)
        entries[id] = Entry(report, now, ++revision, known.changedAt, known.detailedAt, known.detailTime, direct = false)
    }

    /**
     * Reports that changed after [since]; only those that servers sent here themselves when [directOnly]. Of servers that report
     * here the adapters are told too, now and then.
     */
    public fun changesSince(
        since: Long,
        directOnly: Boolean,
    ): List<ServerReport> = entries.values.filter { isNews(it, since, directOnly) }.map { it.report }

    private fun isNews(
        entry: Entry,
        since: Long,
        directOnly: Boolean,
    ): Boolean = (entry.changedAt > since && (entry.direct || !directOnly)) || (entry.direct && entry.detailedAt > since)

    /** Numbers of the reports since [since] that servers sent here and that said nothing new, by server. */
    public fun refreshedSince(since: Long): Map<String, Long> =
        entries.values
            .filter { it.direct && it.revision > since && !isNews(it, since, directOnly = true) }
            .associate { it.report.id to it.report.sequence }

    /** True when a server has changed after [since]; only one that said so here itself counts when [directOnly]. */
    public fun hasChangedSince(
        since: Long,
        directOnly: Boolean,
    ): Boolean = entries.values.any { it.changedAt > since && (it.direct || !directOnly) }

    /** Servers that have not signed off and were heard within [silence]. */
    public fun aliveServers(
        now: Duration,
        silence: Duration,
    ): List<ServerReport> = entries.values.filter { it.report.phase != ServerPhase.GONE && now - it.heardAt <= silence }.map { it.report }

    /** The report of server [id], if it is known. */
    public operator fun get(id: String): ServerReport? = entries[id]?.report

    /** Forgets servers that have been silent for so long that no report of theirs can still be under way. */
    public fun evictExpired(now: Duration) {
        entries.values.removeAll { now - it.heardAt > RETENTION }
    }

    /** True when a server that started later has the address of [report]. */
    private fun isSuperseded(report: ServerReport): Boolean =
        entries.values.any { it.report.address == report.address && it.report.id != report.id && it.report.startedAtMillis > report.startedAtMillis }

    private companion object {
        /** Adapters matter to others only while no leader can be asked. */
        val DETAIL_INTERVAL = 4.seconds
        val RETENTION = 10.minutes
    }
}
