package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Hosts of the control instances that an instance knows, from its settings and from what control instances report. One that has not been
 * reported for [RETENTION] while others were is forgotten, since it was replaced for good; seeds are kept. While nothing is reported,
 * nothing is forgotten, so that an instance that was cut off finds the control instances again. Not thread-safe.
 */
public class ControlInstances(
    /** Hosts in the settings. */
    public var seeds: Set<String>,
) {
    private val reportedAt = HashMap<String, Duration>()

    /** All hosts that are seeds or were reported recently. */
    public val hosts: Set<String> get() = seeds + reportedAt.keys

    /** Records that a control instance reports [reported] as control instances. */
    public fun record(
        reported: Set<String>,
        now: Duration,
    ) {
        for (host in reported) reportedAt[host] = now
        reportedAt.values.removeAll { now - it > RETENTION }
    }

    private companion object {
        /** Longer than control instances take to report one that has restarted. */
        val RETENTION = 30.seconds
    }
}
