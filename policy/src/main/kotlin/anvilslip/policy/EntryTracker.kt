package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Entry instances as a control instance knows them from their reports. Not thread-safe. */
public class EntryTracker(
    private val startedAt: Duration,
) {
    private class Report(
        val entry: EntryInstance,
        val receivedAt: Duration,
    )

    private val reports = HashMap<String, Report>()

    /** Records a report of [entry]. */
    public fun record(
        entry: EntryInstance,
        now: Duration,
    ) {
        reports[entry.host] = Report(entry, now)
    }

    /** Returns the entry instances that have reported recently and are ready. */
    public fun ready(now: Duration): List<EntryInstance> = reports.values.filter { it.entry.ready && isRecent(it, now) }.map { it.entry }

    /** Returns the number of entry instances that have reported recently. */
    public fun recentCount(now: Duration): Int = reports.values.count { isRecent(it, now) }

    /**
     * Returns the number of entry instances in use as reported to this instance, or 0 while it has not run long enough to have
     * heard of all. A ready instance counts as in use for [RETENTION] after its last report, any other for [REPORT_TIMEOUT].
     */
    public fun inUseCount(now: Duration): Int = if (now - startedAt < REPORT_TIMEOUT) 0 else countInUse(now)

    /** Share of the entry instances in use that have reported recently. Counts those that only other control instances have heard of. */
    public fun reachableShare(now: Duration): Double {
        val recent = reports.values.filter { now - it.receivedAt < LIMIT_SHARE_TIMEOUT }
        val known = maxOf(countInUse(now), recent.maxOfOrNull { it.entry.knownEntries } ?: 0)
        return if (known == 0) 0.0 else recent.size.toDouble() / known
    }

    /**
     * Returns the hosts of the entry instances in use in ascending order, at most [MAX_HOSTS] of them; empty while this instance has
     * not run long enough to have heard of all.
     */
    public fun hostsInUse(now: Duration): List<String> {
        if (now - startedAt < REPORT_TIMEOUT) return emptyList()
        return reports.values
            .filter { isInUse(it, now) }
            .map { it.entry.host }
            .sorted()
            .take(MAX_HOSTS)
    }

    private fun countInUse(now: Duration): Int = reports.values.count { isInUse(it, now) }

    private fun isInUse(
        report: Report,
        now: Duration,
    ): Boolean = isRecent(report, now) || (report.entry.ready && now - report.receivedAt < RETENTION)

    private fun isRecent(
        report: Report,
        now: Duration,
    ): Boolean = now - report.receivedAt < REPORT_TIMEOUT

    private companion object {
        /** Bounds the answers that contain the hosts, at about 16 bytes each. */
        const val MAX_HOSTS = 512

        /** Entry instances report at least once a second. */
        val REPORT_TIMEOUT = 2200.milliseconds
        val RETENTION = 60.seconds

        /** Shorter than [REPORT_TIMEOUT], since an instance that is cut off spends its share of the limits from then on. */
        val LIMIT_SHARE_TIMEOUT = 1300.milliseconds
    }
}
