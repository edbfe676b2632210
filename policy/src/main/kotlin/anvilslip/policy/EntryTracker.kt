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

    private fun countInUse(now: Duration): Int =
        reports.values.count { isRecent(it, now) || (it.entry.ready && now - it.receivedAt < RETENTION) }

    private fun isRecent(
        report: Report,
        now: Duration,
    ): Boolean = now - report.receivedAt < REPORT_TIMEOUT

    private companion object {
        /** Entry instances report at least once a second. */
        val REPORT_TIMEOUT = 2200.milliseconds
        val RETENTION = 60.seconds

        /** Shorter than [REPORT_TIMEOUT], since an instance that is cut off spends its share of the limits from then on. */
        val LIMIT_SHARE_TIMEOUT = 1300.milliseconds
    }
}
