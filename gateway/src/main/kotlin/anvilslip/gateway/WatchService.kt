package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.launchPeriodically
import anvilslip.kernel.launchSupervised
import anvilslip.policy.EntryInstance
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Keeps [ClusterView] up to date with long polls to every control instance, each of which answers as soon as something changes. */
public class WatchService(
    private val network: PeerNetwork,
    private val clusterView: ClusterView,
    private val host: String,
    private val peerPort: Int,
    private val clock: Clock,
    /** Whether this instance needs the hosts of the other entry instances. */
    private val needsEntryHosts: Boolean = false,
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
        val entryHostsHash: Int = 0,
    ) {
        fun after(reply: PeerMessage.WatchReply): Position {
            val wasTold = !hasAllSuspects || reply.incarnation == incarnation
            val hostsHash = reply.entryHosts?.hashCode() ?: entryHostsHash
            return Position(reply.incarnation, reply.fleetRevision, reply.suspectRevision, wasTold, hostsHash)
        }
    }

    override val name: String = NAME
    private val log = EventLogger("watch")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val watched = ConcurrentHashMap.newKeySet<String>()

    override suspend fun start() {
        scope.launchPeriodically("control-membership", MEMBERSHIP_POLL) { watchNewControls() }
        scope.launchSupervised("suspect-reports") { reportSuspects(it) }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Sends the state of this instance to all control instances without waiting for the next poll. */
    public suspend fun announce() {
        val own = entry() ?: return
        clusterView.controlHosts
            .map { control ->
                scope.launch { network.call(control, PeerMessage.Watch(own), ANNOUNCE_TIMEOUT) }
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
            }
        }
    }

    /** Polls [control] until it is no longer known as a control instance. */
    private suspend fun watch(
        control: String,
        recordProgress: () -> Unit,
    ) {
        var position = Position()
        var reachable = false
        while (control in clusterView.controlHosts) {
            val sentAt = clock.elapsed()
            val request = watchRequest(position, if (reachable) LONG_POLL_TIMEOUT else Duration.ZERO)
            val reply = network.call(control, request, ANSWER_TIMEOUT).getOrNull() as? PeerMessage.WatchReply
            if ((reply != null) != reachable) log.info(if (reply != null) "control_reached" else "control_lost", "control" to control)
            reachable = reply != null
            reply?.let { applyReply(control, it) }
            position = reply?.let(position::after) ?: position.copy(hasAllSuspects = false)
            recordProgress()
            val pause = if (reply == null) RETRY_DELAY else MIN_INTERVAL - (clock.elapsed() - sentAt)
            if (pause.isPositive()) delay(pause)
        }
    }

    private fun watchRequest(
        position: Position,
        wait: Duration,
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
            entryHostsHash = position.entryHostsHash.takeIf { needsEntryHosts },
        )
    }

    private fun applyReply(
        control: String,
        reply: PeerMessage.WatchReply,
    ) {
        // Before the document, with which an instance that has just started becomes ready.
        clusterView.suspects.merge(reply.suspects)
        reply.servers.forEach { clusterView.recordReport(it, direct = false) }
        reply.refreshed.forEach(clusterView::refreshServer)
        reply.document?.let(clusterView::applyDocument)
        reply.namedVersions?.let { clusterView.applyVersions(it, reply.namedRevision) }
        reply.leader?.let { clusterView.observeLeader(it, reply.term) }
        clusterView.recordControlHosts(reply.controlHosts)
        if (entry() != null) clusterView.observeEntryCount(control, reply.entryCount)
        if (needsEntryHosts) clusterView.observeEntryHosts(control, reply.entryHosts)
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "watch"

        /** How long a control instance delays its answer while nothing changes. */
        private val LONG_POLL_TIMEOUT = 900.milliseconds
        private val ANSWER_TIMEOUT = 1800.milliseconds
        private val ANNOUNCE_TIMEOUT = 500.milliseconds
        private val RETRY_DELAY = 200.milliseconds

        /** Minimum interval between two polls, so that a burst of changes arrives in one answer. */
        private val MIN_INTERVAL = 20.milliseconds
        private val MEMBERSHIP_POLL = 250.milliseconds

        /** Several requests break at once when a server crashes; their reports are sent together. */
        private val SUSPECT_BATCH_DELAY = 5.milliseconds
    }
}
