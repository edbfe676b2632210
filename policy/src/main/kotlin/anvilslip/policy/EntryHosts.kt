package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Hosts of the entry instances in use, as the control instances report them. What a control instance has reported is dropped
 * [RETENTION] after its last answer if others have answered since; while none answers, everything is kept, so that an instance that is
 * cut off from control still knows the others. Not thread-safe.
 */
public class EntryHosts {
    private class Report(
        val hosts: Set<String>,
        val answeredAt: Duration,
    )

    private val reports = HashMap<String, Report>()

    /** All hosts that are reported. */
    public var all: Set<String> = emptySet()
        private set

    /** Records an answer of [control], which reports [hosts], or no change if they are null. */
    public fun record(
        control: String,
        hosts: Collection<String>?,
        now: Duration,
    ) {
        val known = hosts?.toSet() ?: reports[control]?.hosts.orEmpty()
        val dropped = reports.values.removeAll { now - it.answeredAt > RETENTION }
        val changed = reports.put(control, Report(known, now))?.hosts != known
        if (changed || dropped) all = reports.values.flatMap { it.hosts }.toSet()
    }

    private companion object {
        /** Longer than a control instance takes to restart. */
        val RETENTION = 10.seconds
    }
}
