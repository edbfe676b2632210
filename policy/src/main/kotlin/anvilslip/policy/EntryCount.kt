package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Number of entry instances in use, as the control instances report it to an entry instance. The largest recent report counts, since
 * a control instance that has restarted or is cut off has heard of too few. Not thread-safe.
 */
public class EntryCount {
    private class Report(
        val count: Int,
        val receivedAt: Duration,
    )

    private val reports = HashMap<String, Report>()

    /** Records that [control] has heard of [count] entry instances in use. */
    public fun record(
        control: String,
        count: Int,
        now: Duration,
    ) {
        val largest = reports[control]
        if (largest == null || count >= largest.count || !isRecent(largest, now)) reports[control] = Report(count, now)
    }

    /** Returns the number of entry instances in use, or null if no control instance has recently reported one. */
    public fun current(now: Duration): Int? = reports.values.filter { isRecent(it, now) && it.count > 0 }.maxOfOrNull { it.count }

    private fun isRecent(
        report: Report,
        now: Duration,
    ): Boolean = now - report.receivedAt < RETENTION

    private companion object {
        /** Longer than a control instance takes to restart and hear of all entry instances again. */
        val RETENTION = 60.seconds
    }
}
