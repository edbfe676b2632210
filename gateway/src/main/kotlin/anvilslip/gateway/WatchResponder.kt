package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.policy.EntryInstance
import anvilslip.state.Replica
import anvilslip.wire.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Answers [PeerMessage.Watch] on a control instance, and so hears from all entry instances. */
public class WatchResponder(
    private val host: String,
    private val incarnation: String,
    private val clusterView: ClusterView,
    private val replica: Replica,
    private val clock: Clock,
) {
    private class Heard(
        val entry: EntryInstance,
        val at: Duration,
    )

    private val entries = ConcurrentHashMap<String, Heard>()
    private val controls = ConcurrentHashMap<String, Duration>()

    /** Entry instances that were heard of late and are ready. */
    public fun readyEntries(): List<EntryInstance> {
        val now = clock.elapsed()
        return entries.values.filter { it.entry.ready && now - it.at < ENTRY_SILENCE }.map { it.entry }
    }

    /** Share of the entry instances in use that can be reached. */
    public fun reachableShare(): Double {
        val now = clock.elapsed()
        val inUse = entries.values.filter { now - it.at < ENTRY_MEMORY && (it.entry.ready || now - it.at < ENTRY_SILENCE) }
        if (inUse.isEmpty()) return 1.0
        return inUse.count { now - it.at < ENTRY_SILENCE }.toDouble() / inUse.size
    }

    /** Answers [watch] of instance [from]. */
    public suspend fun respond(
        from: String,
        watch: PeerMessage.Watch,
    ): PeerMessage {
        val entry = watch.entry
        if (entry != null) hear(entry) else controls[from] = clock.elapsed()
        val known = clusterView.changeCount
        if (watch.waitMillis > 0 && !hasNews(watch)) clusterView.awaitChange(known, watch.waitMillis.milliseconds)
        return reply(watch)
    }

    private fun hear(entry: EntryInstance) {
        entries[entry.host] = Heard(entry, clock.elapsed())
    }

    /** True when something is in force here that the asking instance lacks, or when it has asked another incarnation so far. */
    private fun hasNews(watch: PeerMessage.Watch): Boolean {
        val active = clusterView.active
        val version = active.document?.version
        return watch.incarnation != incarnation || active.versionsRevision > watch.namedRevision ||
            (version != null && version > watch.documentVersion) ||
            clusterView.hasFleetChangeSince(watch.fleetRevision, directOnly = watch.entry == null)
    }

    private fun reply(watch: PeerMessage.Watch): PeerMessage.WatchReply {
        val fresh = watch.incarnation != incarnation
        val since = if (fresh) 0 else watch.fleetRevision
        val news = clusterView.fleetUpdateSince(since, directOnly = !fresh && watch.entry == null)
        val active = clusterView.active
        val view = replica.view
        return PeerMessage.WatchReply(
            incarnation = incarnation,
            fleetRevision = news.revision,
            servers = news.changed,
            refreshed = news.refreshed,
            document = active.document?.takeIf { it.version > watch.documentVersion },
            namedVersions = active.versions.takeIf { active.versionsRevision > watch.namedRevision },
            namedRevision = active.versionsRevision,
            controls = controlHosts(),
            leader = view.leader?.instance,
            term = view.term,
            entries = readyEntries().size,
        )
    }

    private fun controlHosts(): Set<String> {
        val now = clock.elapsed()
        val heard = controls.filterValues { now - it < CONTROL_MEMORY }.keys
        return heard + replica.view.voters.map { it.instance } + host
    }

    private companion object {
        /** Entry instances ask at least once a second. */
        val ENTRY_SILENCE = 2200.milliseconds
        val ENTRY_MEMORY = 60.seconds
        val CONTROL_MEMORY = 10.seconds
    }
}
