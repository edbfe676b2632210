package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.launchPeriodically
import anvilslip.kernel.launchSupervised
import anvilslip.policy.EntryInstance
import anvilslip.wire.CompressedDocument
import anvilslip.wire.DocumentDelivery
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerLinks
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Keeps [ClusterView] up to date with long polls to every control instance, each of which answers as soon as something changes. */
public class WatchService(
    private val network: PeerLinks,
    private val clusterView: ClusterView,
    private val host: String,
    private val peerPort: Int,
    private val clock: Clock,
    context: CoroutineContext = Dispatchers.Default,
    /** Whether this instance needs the hosts of the other entry instances. */
    private val needsEntryHosts: Boolean = false,
    /** Whether servers stay known while no control instance answers. */
    private val keepsServers: Boolean = false,
    /** Returns the state of this entry instance to report; null on a control instance. */
    private val entry: () -> EntryInstance?,
) : Service {
    /** How far this instance has followed the changes of a control instance. */
    private data class Position(
        val incarnation: String = "",
        val fleetRevision: Long = 0,
        val suspectRevision: Long = 0,
        /** True if the control instance has been told of all suspects known here; later ones are reported at once. */
        val hasAllSuspects: Boolean = false,
        /** Control instances that the control instance knows, and the revision of that list. */
        val controlHosts: Set<String> = emptySet(),
        val controlRevision: Long = 0,
        /** Latest version of the document that the control instance has announced. */
        val announcedVersion: Long = -1,
        val entryHostsHash: Int = 0,
    ) {
        fun after(reply: PeerMessage.WatchReply): Position =
            Position(
                incarnation = reply.incarnation,
                fleetRevision = reply.fleetRevision,
                suspectRevision = reply.suspectRevision,
                hasAllSuspects = !hasAllSuspects || reply.incarnation == incarnation,
                controlHosts = reply.controlHosts.ifEmpty { controlHosts },
                controlRevision = reply.controlRevision,
                announcedVersion = maxOf(announcedVersion, reply.documentVersion),
                entryHostsHash = reply.entryHosts?.hashCode() ?: entryHostsHash,
            )
    }

    override val name: String = NAME
    private val log = EventLogger("watch")
    private val scope = CoroutineScope(SupervisorJob() + context)
    private val watched = ConcurrentHashMap.newKeySet<String>()
    private val positions = ConcurrentHashMap<String, Position>()
    private val documentSource = DocumentSource(clusterView.zones) { entry()?.zone }
    private val announcedVersion = MutableStateFlow(-1L)

    private val documentVersion: Long get() = clusterView.active.document?.version ?: -1

    override suspend fun start() {
        scope.launchPeriodically("control-membership", MEMBERSHIP_POLL) { watchNewControls() }
        scope.launchSupervised("suspect-reports") { reportSuspects(it) }
        scope.launchSupervised("late-documents") { fetchLateDocuments(it) }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Sends the state of this instance to all control instances without waiting for the next poll. */
    public suspend fun announce() {
        if (entry() == null) return
        clusterView.controlHosts
            .map { control ->
                val request = watchRequest(positionAt(control), Duration.ZERO, DocumentDelivery.ANNOUNCED)
                scope.launch { network.call(control, request, ANNOUNCE_TIMEOUT) }
            }.forEach { it.join() }
    }

    /** Tells all control instances at once of suspects that this instance has found or cleared. */
    private suspend fun reportSuspects(recordProgress: () -> Unit) {
        var reported = 0L
        while (true) {
            clusterView.suspects.awaitChange(reported)
            delay(SUSPECT_BATCH_DELAY)
            val update = clusterView.suspects.changesSince(reported, localOnly = true)
            reported = update.revision
            if (update.reports.isEmpty()) continue
            for (control in clusterView.controlHosts - host) network.send(control, PeerMessage.SuspectUpdate(update.reports))
            recordProgress()
        }
    }

    private fun watchNewControls() {
        for (control in clusterView.controlHosts - host - watched) {
            watched += control
            network.connectTo(control, PeerAddress(control, peerPort))
            scope.launchSupervised("watch") { recordProgress ->
                watch(control, recordProgress)
                network.disconnect(control)
                watched -= control
                positions -= control
                documentSource.recordPoll(control, isAnswered = false)
            }
        }
    }

    /** Polls [control] until it is no longer known as a control instance. */
    private suspend fun watch(
        control: String,
        recordProgress: () -> Unit,
    ) {
        positions[control] = Position()
        var reachable = false
        while (control in clusterView.controlHosts) {
            val sentAt = clock.elapsed()
            val request = watchRequest(positionAt(control), if (reachable) LONG_POLL_TIMEOUT else Duration.ZERO, deliveryFrom(control))
            val reply = network.call(control, request, ANSWER_TIMEOUT).getOrNull() as? PeerMessage.WatchReply
            if ((reply != null) != reachable) log.info(if (reply != null) "control_reached" else "control_lost", "control" to control)
            reachable = reply != null
            documentSource.recordPoll(control, isAnswered = reachable)
            reply?.let { applyReply(control, it) }
            positions[control] = positionAt(control).let { reply?.let(it::after) ?: it.copy(hasAllSuspects = false) }
            reply?.documentVersion?.let { announced -> announcedVersion.update { maxOf(it, announced) } }
            recordProgress()
            val pause = if (reply == null) RETRY_DELAY else MIN_INTERVAL - (clock.elapsed() - sentAt)
            if (pause.isPositive()) delay(pause)
        }
    }

    private fun positionAt(control: String): Position = positions[control] ?: Position()

    /** An instance without a document takes it from whoever answers first, since it is not ready before. */
    private fun deliveryFrom(control: String): DocumentDelivery =
        if (documentVersion < 0 || control == documentSource.preferred) DocumentDelivery.COMPRESSED else DocumentDelivery.ANNOUNCED

    /** Asks the control instances that announced a document for it if it has not arrived otherwise within [DOCUMENT_TIMEOUT]. */
    private suspend fun fetchLateDocuments(recordProgress: () -> Unit) {
        while (true) {
            val version = announcedVersion.first { it > documentVersion }
            withTimeoutOrNull(DOCUMENT_TIMEOUT) { awaitDocument(version) }
            if (documentVersion < version) fetchDocument(version)
            recordProgress()
        }
    }

    private suspend fun fetchDocument(version: Long): Unit =
        coroutineScope {
            val sources = positions.filterValues { it.announcedVersion >= version }.keys
            log.info("document_late", "version" to version, "preferred" to documentSource.preferred, "asked" to sources.joinToString(","))
            val calls = sources.map { launch { fetchDocumentFrom(it) } }
            withTimeoutOrNull(ANSWER_TIMEOUT) { awaitDocument(version) }
            calls.forEach { it.cancel() }
        }

    private suspend fun fetchDocumentFrom(control: String) {
        val request = watchRequest(positionAt(control), Duration.ZERO, DocumentDelivery.COMPRESSED)
        val reply = network.call(control, request, ANSWER_TIMEOUT).getOrNull() as? PeerMessage.WatchReply ?: return
        applyReply(control, reply)
    }

    private suspend fun awaitDocument(version: Long) {
        while (true) {
            val seen = clusterView.changeCount
            if (documentVersion >= version) return
            clusterView.awaitChange(seen)
        }
    }

    private fun watchRequest(
        position: Position,
        wait: Duration,
        delivery: DocumentDelivery,
    ): PeerMessage.Watch {
        val active = clusterView.active
        return PeerMessage.Watch(
            entry = entry(),
            documentVersion = active.document?.version ?: -1,
            namedRevision = active.versionsRevision,
            incarnation = position.incarnation,
            fleetRevision = position.fleetRevision,
            waitMillis = wait.inWholeMilliseconds,
            suspects = if (position.hasAllSuspects) emptyList() else clusterView.suspects.changesSince(0).reports,
            suspectRevision = position.suspectRevision,
            term = clusterView.leader.term,
            documentDelivery = delivery,
            announcedVersion = position.announcedVersion,
            controlRevision = position.controlRevision,
            evacuationRevision = clusterView.evacuations.revision,
            entryHostsHash = position.entryHostsHash.takeIf { needsEntryHosts },
        )
    }

    private fun applyReply(
        control: String,
        reply: PeerMessage.WatchReply,
    ) {
        reply.zone?.let { clusterView.zones.record(control, it) }
        // Before the document, with which an instance that has just started becomes ready.
        clusterView.suspects.merge(reply.suspects)
        reply.evacuations?.let { clusterView.applyEvacuations(ClusterView.Evacuations(it, reply.evacuationRevision)) }
        reply.servers.forEach { clusterView.recordReport(it, direct = false) }
        reply.refreshed.forEach(clusterView::refreshServer)
        reply.document?.let { clusterView.applyDocument(it, source = control) }
        reply.compressedDocument?.let { applyDocument(control, it) }
        reply.namedVersions?.let { clusterView.applyVersions(it, reply.namedRevision) }
        reply.leader?.let { clusterView.observeLeader(it, reply.term) }
        clusterView.recordControlHosts(reply.controlHosts.ifEmpty { positionAt(control).controlHosts })
        if (entry() != null) clusterView.observeEntryCount(control, reply.entryCount)
        if (needsEntryHosts) clusterView.observeEntryHosts(control, reply.entryHosts)
        if (keepsServers) clusterView.recordContact()
    }

    private fun applyDocument(
        control: String,
        compressed: CompressedDocument,
    ) {
        val document = compressed.document
        if (document != null) return clusterView.applyDocument(document, source = control)
        log.error("document_unreadable", "control" to control, "version" to compressed.version, "bytes" to compressed.sizeBytes)
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "watch"

        /** How long a control instance delays its answer while nothing changes. */
        private val LONG_POLL_TIMEOUT = 900.milliseconds
        private val ANSWER_TIMEOUT = 1800.milliseconds
        private val ANNOUNCE_TIMEOUT = 500.milliseconds

        /** Time within which the preferred control instance must deliver a document that another one has announced. */
        private val DOCUMENT_TIMEOUT = 300.milliseconds
        private val RETRY_DELAY = 200.milliseconds

        /** Minimum interval between two polls, so that a burst of changes arrives in one answer. */
        private val MIN_INTERVAL = 20.milliseconds
        private val MEMBERSHIP_POLL = 250.milliseconds

        /** Several requests break at once when a server crashes; their reports are sent together. */
        private val SUSPECT_BATCH_DELAY = 5.milliseconds
    }
}
