package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Entry instances as a control instance knows them from their reports. Not thread-safe. */
public class EntryTracker {
    private class Report(
        val entry: EntryInstance,
        val receivedAt: Duration,
    )

    private val reports = HashMap<String, Report>()

    /** Number of entry instances that are known at all. */
    public val size: Int get() = reports.size

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

    /** Returns the number of entry instances among which the limits of workspaces are divided. */
    public fun shareCount(now: Duration): Int = ready(now).size

    /**
     * Share of the entry instances in use that have reported recently. A ready instance counts as in use for [RETENTION]
     * after its last report, any other for [REPORT_TIMEOUT].
     */
    public fun reachableShare(now: Duration): Double {
        val inUse = reports.values.filter { isRecent(it, now) || (it.entry.ready && now - it.receivedAt < RETENTION) }
        if (inUse.isEmpty()) return 1.0
        return inUse.count { isRecent(it, now) }.toDouble() / inUse.size
    }

    private fun isRecent(
        report: Report,
        now: Duration,
    ): Boolean = now - report.receivedAt < REPORT_TIMEOUT

    private companion object {
        /** Entry instances report at least once a second. */
        val REPORT_TIMEOUT = 2200.milliseconds
        val RETENTION = 60.seconds
    }
}
