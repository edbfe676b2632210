package anvilslip.control

import anvilslip.policy.Announcement
import anvilslip.policy.BackendView
import anvilslip.policy.FleetView
import anvilslip.policy.Placement
import anvilslip.policy.PlacementOptions
import anvilslip.state.ReplicatedState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** All that a leader holds in memory during its term. Confined to one thread. */
internal class Tenure(
    val term: Long,
    state: ReplicatedState,
    options: PlacementOptions,
    now: Duration,
) {
    private class HeardBackend(
        val announcement: Announcement,
        val heardAt: Duration,
    )

    val placement = Placement(options, now, hasPredecessor = term > FIRST_TERM)
    val buckets = Buckets(term, state.buckets)
    private val instances = LinkedHashMap<String, InstanceRecord>()
    private val backends = LinkedHashMap<String, HeardBackend>()
    private val options = options

    var view = FleetView(term)
        private set

    fun backend(server: String): Announcement? = backends[server]?.announcement

    val allBackends: List<Announcement> get() = backends.values.map { it.announcement }

    val allInstances: List<InstanceRecord> get() = instances.values.toList()

    /** Records a report; true when the instance was not there before. */
    fun heard(record: InstanceRecord): Boolean = instances.put(record.view.name, record) == null

    /** Records an announcement and returns the one before. */
    fun heard(
        announcement: Announcement,
        now: Duration,
    ): Announcement? = backends.put(announcement.server, HeardBackend(announcement, now))?.announcement

    fun removeBackend(server: String) {
        backends.remove(server)
    }

    /** Removes and returns the instances that have been silent too long. */
    fun removeSilentInstances(now: Duration): List<InstanceRecord> {
        val lost = instances.values.filter { now - it.heardAt > INSTANCE_TIMEOUT }
        instances.keys.removeAll(lost.map { it.view.name }.toSet())
        return lost
    }

    /** Removes and returns the backend servers that have been silent too long. */
    fun removeSilentBackends(now: Duration): List<Announcement> {
        val lost = backends.values.filter { now - it.heardAt > options.announcementTimeout }.map { it.announcement }
        backends.keys.removeAll(lost.map { it.server }.toSet())
        return lost
    }

    /** Brings [view] up to date; its version grows only when something changed. */
    fun renewView(draining: Set<String>) {
        val members = instances.values.map { it.view.copy(draining = it.view.draining || it.view.name in draining) }.sortedBy { it.name }
        val servers = backends.values.map { it.announcement.toView() }.sortedBy { it.server }
        if (members != view.instances || servers != view.backends) view = FleetView(term, view.version + 1, members, servers)
    }

    private fun Announcement.toView() = BackendView(server, incarnation, kind, serves, address, zone, batch, leaving)

    private companion object {
        val INSTANCE_TIMEOUT = 2.seconds

        /** The log starts in term 1, so the first leader is elected in term 2. */
        const val FIRST_TERM = 2L
    }
}
