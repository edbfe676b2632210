package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.policy.EntryInstance
import anvilslip.policy.EntryTracker
import anvilslip.state.ConfigurationDocument
import anvilslip.state.ReplicaView
import anvilslip.wire.CompressedDocument
import anvilslip.wire.DocumentDelivery
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Answers [PeerMessage.Watch] on a control instance and tracks the entry instances, all of which send this message. */
public class WatchResponder(
    private val host: String,
    private val incarnation: String,
    private val clusterView: ClusterView,
    private val replicaView: () -> ReplicaView,
    private val clock: Clock,
    /** Availability zone of this instance. */
    private val zone: String? = null,
) {
    private class ControlList(
        val hosts: Set<String>,
        val revision: Long,
    )

    private val entries = EntryTracker(clock.elapsed())
    private val controlsSeenAt = ConcurrentHashMap<String, Duration>()
    private var lastControls = ControlList(emptySet(), 0)
    private var lastCompressed: Pair<ConfigurationDocument, CompressedDocument>? = null

    /** Returns the entry instances that have reported recently and are ready. */
    public fun readyEntries(): List<EntryInstance> = withEntries { ready(it) }

    /** Share of the entry instances in use that have reported recently. */
    public fun reachableShare(): Double = withEntries { reachableShare(it) }

    /** Returns the numbers of entry instances that are ready, have reported recently and are in use, as "1/2/3", for the log. */
    public fun entryCounts(): String = withEntries { "${ready(it).size}/${recentCount(it)}/${inUseCount(it)}" }

    /** Answers [watch] from instance [from]: immediately if there is an update for it, otherwise after a change or the requested wait. */
    public suspend fun respond(
        from: String,
        watch: PeerMessage.Watch,
    ): PeerMessage {
        clusterView.suspects.merge(watch.suspects)
        val entry = watch.entry
        if (entry != null) recordEntry(entry) else controlsSeenAt[from] = clock.elapsed()
        if (watch.waitMillis > 0) awaitUpdate(watch)
        return reply(watch)
    }

    /** Waits for an update for the sender of [watch], for at most the time that it requests. */
    private suspend fun awaitUpdate(watch: PeerMessage.Watch) {
        withTimeoutOrNull(watch.waitMillis.milliseconds) {
            while (true) {
                val seen = clusterView.changeCount
                if (hasUpdate(watch)) break
                clusterView.awaitChange(seen)
            }
        }
    }

    /** Records the suspects that an entry instance reports. */
    public fun recordSuspects(update: PeerMessage.SuspectUpdate): Unit = clusterView.suspects.merge(update.reports)

    private fun recordEntry(entry: EntryInstance) {
        withEntries { record(entry, it) }
        clusterView.zones.record(entry.host, entry.zone)
    }

    private fun <T> withEntries(block: EntryTracker.(now: Duration) -> T): T = synchronized(entries) { entries.block(clock.elapsed()) }

    /**
     * True if this instance knows something that the sender of [watch] lacks, or has restarted since the sender's last request. Changes of
     * servers that report to another control instance do not count: that instance tells the sender at once, and this one in its next answer.
     */
    private fun hasUpdate(watch: PeerMessage.Watch): Boolean {
        val active = clusterView.active
        return watch.incarnation != incarnation || active.versionsRevision > watch.namedRevision ||
            hasDocumentFor(watch) || clusterView.suspects.revision > watch.suspectRevision ||
            clusterView.evacuations.revision > watch.evacuationRevision ||
            clusterView.hasDirectFleetChangeSince(watch.fleetRevision) || knowsLaterLeader(watch.term)
    }

    private fun hasDocumentFor(watch: PeerMessage.Watch): Boolean {
        val version = clusterView.active.document?.version ?: return false
        val isAnnounced = watch.documentDelivery == DocumentDelivery.ANNOUNCED && version <= watch.announcedVersion
        return version > watch.documentVersion && !isAnnounced
    }

    private fun knowsLaterLeader(term: Long): Boolean = replicaView().let { it.leader != null && it.term > term }

    private fun reply(watch: PeerMessage.Watch): PeerMessage.WatchReply {
        val isNewIncarnation = watch.incarnation != incarnation
        val since = if (isNewIncarnation) 0 else watch.fleetRevision
        val update = clusterView.fleetUpdateSince(since, directOnly = !isNewIncarnation && watch.entry == null)
        val suspects = clusterView.suspects.changesSince(if (isNewIncarnation) 0 else watch.suspectRevision)
        val active = clusterView.active
        val document = active.document?.takeIf { it.version > watch.documentVersion }
        val controls = controls()
        val knowsControls = !isNewIncarnation && watch.controlRevision == controls.revision
        val evacuations = clusterView.evacuations
        val view = replicaView()
        return PeerMessage.WatchReply(
            incarnation = incarnation,
            fleetRevision = update.revision,
            servers = update.changed,
            refreshed = update.refreshed,
            document = document?.takeIf { watch.documentDelivery == DocumentDelivery.PLAIN },
            compressedDocument = document?.takeIf { watch.documentDelivery == DocumentDelivery.COMPRESSED }?.let(::compress),
            documentVersion = document?.version?.takeIf { it > watch.announcedVersion } ?: -1,
            namedVersions = active.versions.takeIf { active.versionsRevision > watch.namedRevision },
            namedRevision = active.versionsRevision,
            controlHosts = if (knowsControls) emptySet() else controls.hosts,
            controlRevision = controls.revision,
            leader = view.leader?.instance,
            term = view.term,
            entryCount = withEntries { inUseCount(it) },
            suspects = suspects.reports,
            suspectRevision = suspects.revision,
            zone = zone?.takeIf { isNewIncarnation },
            evacuations = evacuations.zones.takeIf { evacuations.revision > watch.evacuationRevision },
            evacuationRevision = evacuations.revision,
            entryHosts = changedEntryHosts(watch, isNewIncarnation),
        )
    }

    /** The hosts of the entry instances in use if the sender of [watch] asks for them and lacks a change. */
    private fun changedEntryHosts(
        watch: PeerMessage.Watch,
        isNewIncarnation: Boolean,
    ): List<String>? {
        val known = watch.entryHostsHash ?: return null
        return withEntries { hostsInUse(it) }.takeIf { isNewIncarnation || it.hashCode() != known }
    }

    /** Compresses [document] once for all instances that it is sent to. */
    @Synchronized
    private fun compress(document: ConfigurationDocument): CompressedDocument {
        lastCompressed?.let { (known, compressed) -> if (known === document) return compressed }
        return CompressedDocument.of(document).also { lastCompressed = document to it }
    }

    @Synchronized
    private fun controls(): ControlList {
        val hosts = controlHosts()
        if (hosts != lastControls.hosts) lastControls = ControlList(hosts, lastControls.revision + 1)
        return lastControls
    }

    private fun controlHosts(): Set<String> {
        val now = clock.elapsed()
        val recent = controlsSeenAt.filterValues { now - it < CONTROL_RETENTION }.keys
        return recent + replicaView().voters.map { it.instance } + host
    }

    private companion object {
        val CONTROL_RETENTION = 10.seconds
    }
}
