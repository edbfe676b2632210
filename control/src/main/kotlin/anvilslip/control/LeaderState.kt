package anvilslip.control

import anvilslip.policy.Announcement
import anvilslip.policy.BackendView
import anvilslip.policy.FleetView
import anvilslip.policy.Placement
import anvilslip.policy.PlacementOptions
import anvilslip.state.ReplicatedState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** State that a leader keeps in memory for one term. Confined to a single thread. */
internal class LeaderState(
    val term: Long,
    /** The replicated state while this instance led last; that of the replica may be empty or older once it does not. */
    var state: ReplicatedState,
    options: PlacementOptions,
    now: Duration,
) {
    private class BackendRecord(
        val announcement: Announcement,
        val lastAnnouncedAt: Duration,
    )

    val placement = Placement(options, now, hasPredecessor = term > FIRST_LEADER_TERM)
    val buckets = TokenBuckets(term, state.buckets)
    private val instances = LinkedHashMap<String, InstanceRecord>()
    private val backends = LinkedHashMap<String, BackendRecord>()
    private val options = options

    var view = FleetView(term)
        private set

    fun backend(server: String): Announcement? = backends[server]?.announcement

    val allBackends: List<Announcement> get() = backends.values.map { it.announcement }

    val allInstances: List<InstanceRecord> get() = instances.values.toList()

    /** Records the latest report of an instance. Returns true when the instance was not known before. */
    fun recordInstance(record: InstanceRecord): Boolean = instances.put(record.view.name, record) == null

    /** Records [announcement] and returns the previous announcement of the same server, if any. */
    fun recordAnnouncement(
        announcement: Announcement,
        now: Duration,
    ): Announcement? = backends.put(announcement.server, BackendRecord(announcement, now))?.announcement

    fun removeBackend(server: String) {
        backends.remove(server)
    }

    /** Removes and returns the instances that have not reported within [INSTANCE_TIMEOUT]. */
    fun removeSilentInstances(now: Duration): List<InstanceRecord> {
        val lost = instances.values.filter { now - it.lastReportAt > INSTANCE_TIMEOUT }
        instances.keys.removeAll(lost.map { it.view.name }.toSet())
        return lost
    }

    /** Removes and returns the backend servers that have not announced themselves within [PlacementOptions.announcementTimeout]. */
    fun removeSilentBackends(now: Duration): List<Announcement> {
        val lost = backends.values.filter { now - it.lastAnnouncedAt > options.announcementTimeout }.map { it.announcement }
        backends.keys.removeAll(lost.map { it.server }.toSet())
        return lost
    }

    /** Rebuilds [view]; increments its version only if its content changed. */
    fun refreshView(draining: Set<String>) {
        val members = instances.values.map { it.view.copy(draining = it.view.draining || it.view.name in draining) }.sortedBy { it.name }
        val servers = backends.values.map { it.announcement.toView() }.sortedBy { it.server }
        if (members != view.instances || servers != view.backends) view = FleetView(term, view.version + 1, members, servers)
    }

    private fun Announcement.toView() = BackendView(server, incarnation, kind, serves, address, zone, batch, leaving)

    private companion object {
        val INSTANCE_TIMEOUT = 2.seconds

        /** Term of the first leader: the log starts in term 1, so the first election is in term 2. */
        const val FIRST_LEADER_TERM = 2L
    }
}
