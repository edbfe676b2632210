package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Keeps [ClusterView] up to date by asking every control instance what has changed; each answers when something has. */
public class WatchService(
    private val network: PeerNetwork,
    private val clusterView: ClusterView,
    private val host: String,
    private val peerPort: Int,
    private val clock: Clock,
    /** How this instance reports itself; null on a control instance. */
    private val entry: () -> EntryInstance?,
) : Service {
    override val name: String = NAME
    private val log = EventLogger("watch")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val watched = HashSet<String>()

    override suspend fun start() {
        scope.launch {
            while (true) {
                watchNew()
                delay(MEMBERS_CHECK)
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Tells all control instances at once how this one reports itself. */
    public suspend fun announce() {
        val own = entry() ?: return
        clusterView.controlHosts
            .map { control ->
                scope.launch { network.call(control, PeerMessage.Watch(own), ANNOUNCE_TIMEOUT) }
            }.forEach { it.join() }
    }

    private fun watchNew() {
        for (control in clusterView.controlHosts - host - watched) {
            watched += control
            network.connectTo(control, PeerAddress(control, peerPort))
            scope.launch { watch(control) }
        }
    }

    private suspend fun watch(control: String) {
        var incarnation = ""
        var fleetRevision = 0L
        var reachable = false
        while (true) {
            val asked = clock.elapsed()
            val answer = network.call(control, question(incarnation, fleetRevision, if (reachable) WAIT else Duration.ZERO), ANSWER_TIMEOUT)
            val reply = answer.getOrNull() as? PeerMessage.WatchReply
            if ((reply != null) != reachable) log.info(if (reply != null) "control_reached" else "control_lost", "control" to control)
            reachable = reply != null
            if (reply != null) {
                incarnation = reply.incarnation
                fleetRevision = reply.fleetRevision
                take(reply)
            }
            val pause = if (reply == null) RETRY else MIN_INTERVAL - (clock.elapsed() - asked)
            if (pause.isPositive()) delay(pause)
        }
    }

    private fun question(
        incarnation: String,
        fleetRevision: Long,
        wait: Duration,
    ): PeerMessage.Watch {
        val known = clusterView.active
        return PeerMessage.Watch(
            entry = entry(),
            documentVersion = known.document?.version ?: -1,
            namedRevision = known.versionsRevision,
            incarnation = incarnation,
            fleetRevision = fleetRevision,
            waitMillis = wait.inWholeMilliseconds,
        )
    }

    private fun take(reply: PeerMessage.WatchReply) {
        reply.servers.forEach { clusterView.recordReport(it, direct = false) }
        reply.refreshed.forEach(clusterView::refreshServer)
        reply.document?.let(clusterView::applyDocument)
        reply.namedVersions?.let { clusterView.applyVersions(it, reply.namedRevision) }
        reply.leader?.let { clusterView.observeLeader(it, reply.term) }
        clusterView.addControlHosts(reply.controlHosts)
        if (entry() != null) clusterView.entryCount = maxOf(1, reply.entryCount)
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "watch"

        /** How long a control instance keeps a question when nothing changes. */
        private val WAIT = 900.milliseconds
        private val ANSWER_TIMEOUT = 1800.milliseconds
        private val ANNOUNCE_TIMEOUT = 500.milliseconds
        private val RETRY = 200.milliseconds

        /** Answers are asked for this far apart, so that a burst of changes comes together. */
        private val MIN_INTERVAL = 20.milliseconds
        private val MEMBERS_CHECK = 250.milliseconds
    }
}
