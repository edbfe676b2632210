package anvilslip.control

import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.kernel.isFatal
import anvilslip.kernel.launchPeriodically
import anvilslip.policy.Announcement
import anvilslip.policy.BackendKind
import anvilslip.policy.CheckpointBounds
import anvilslip.policy.Grant
import anvilslip.policy.Order
import anvilslip.policy.PlacementDecision
import anvilslip.policy.PlacementOptions
import anvilslip.policy.PlacementOutput
import anvilslip.policy.PlacementRequest
import anvilslip.state.BucketCheckpoint
import anvilslip.state.Command
import anvilslip.state.Replica
import anvilslip.state.ReplicaView
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The leader's services on this instance: the token buckets of all workspaces, the placement of adapters, and the fleet view.
 * Active only while the local replica leads and its leader lease is valid, so that two leaders never act at the same time.
 */
public class LeaderService(
    private val replica: Replica,
    private val adapterLoader: AdapterLoader,
    private val options: PlacementOptions,
    private val clock: Clock,
    private val timeline: Timeline,
) : Service {
    override val name: String = NAME
    private val log = EventLogger("leader")

    @OptIn(ExperimentalCoroutinesApi::class)
    private val leaderDispatcher = Dispatchers.Default.limitedParallelism(1, "leader")
    private val scope = CoroutineScope(SupervisorJob() + leaderDispatcher)
    private val checkpointLock = Mutex()
    private val requestIds = AtomicLong()
    private val pendingPlacements = HashMap<Long, CompletableDeferred<PlacementDecision>>()
    private val unverifiedCrashes = HashMap<String, Duration>()
    private var active: LeaderState? = null

    override suspend fun start() {
        scope.launchPeriodically("leader", TICK_INTERVAL) { tick() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Handles [message] if this instance leads; answers [PeerMessage.NotLeader] otherwise. */
    public suspend fun handle(message: PeerMessage): PeerMessage =
        withContext(leaderDispatcher) {
            val leader = currentState()
            if (leader == null) PeerMessage.NotLeader(replica.view.leader?.instance) else handle(leader, message)
        }

    private suspend fun handle(
        leader: LeaderState,
        message: PeerMessage,
    ): PeerMessage =
        when (message) {
            is PeerMessage.Poll -> onPoll(leader, message)
            is PeerMessage.Announced -> onAnnounced(leader, message)
            is PeerMessage.Place -> onPlace(leader, message)
            is PeerMessage.NotLoaded -> onNotLoaded(leader, message)
            is PeerMessage.GrantRequest -> onGrant(leader, message)
            is PeerMessage.Propose -> onPropose(message)
            is PeerMessage.StatusRequest -> PeerMessage.StatusReply(systemStatus(leader, replica.view, clock.elapsed()))
            else -> PeerMessage.Failed("not a message for the leader")
        }

    /** Returns the state of the current term, or null when this instance does not lead or its leader lease has expired. */
    private fun currentState(): LeaderState? {
        val view = replica.view
        val now = clock.elapsed()
        if (!view.isLeading(now)) return null
        val leader = active?.takeIf { it.term == view.term } ?: beginTerm(view, now)
        leader.state = view.state
        return leader
    }

    private fun beginTerm(
        view: ReplicaView,
        now: Duration,
    ): LeaderState {
        endTerm()
        timeline.record(EventKind.LEADER_ELECTED, fields = mapOf("term" to view.term.toString()))
        val leader = LeaderState(view.term, view.state, options, now)
        leader.buckets.updateLimits(view.state.configuration.workspaces, now)
        active = leader
        return leader
    }

    private fun endTerm() {
        if (active != null) timeline.record(EventKind.LEADER_LOST, fields = mapOf("term" to active?.term.toString()))
        active = null
        unverifiedCrashes.clear()
        pendingPlacements.values.forEach { it.cancel() }
        pendingPlacements.clear()
    }

    private fun tick() {
        if (!replica.isLeading && active?.term != replica.view.term) endTerm()
        val leader = currentState() ?: return
        val now = clock.elapsed()
        for (lost in leader.removeSilentInstances(now)) {
            timeline.record(EventKind.INSTANCE_LOST, cause = "silent", fields = mapOf("lost" to lost.view.name))
        }
        for (lost in leader.removeSilentBackends(now)) {
            timeline.record(EventKind.BACKEND_LOST, cause = "silent", fields = mapOf("server" to lost.server))
        }
        val configuration = leader.state.configuration
        leader.buckets.updateLimits(configuration.workspaces, now)
        leader.refreshView(configuration.draining.keys)
        applyOutput(leader, leader.placement.tick(now))
        scope.launch { commitDueCheckpoints(leader) }
    }

    private fun onPoll(
        leader: LeaderState,
        poll: PeerMessage.Poll,
    ): PeerMessage {
        val now = clock.elapsed()
        val record = InstanceRecord(poll.instance, poll.incarnation, poll.revision, now)
        if (leader.recordInstance(record)) {
            timeline.record(EventKind.INSTANCE_JOINED, fields = mapOf("joined" to poll.instance.name, "zone" to poll.instance.zone))
            leader.refreshView(leader.state.configuration.draining.keys)
        }
        if (poll.viewTerm == leader.term) applyOutput(leader, leader.placement.renewLeases(poll.instance.name, poll.uses, now))
        leader.buckets.applyUsage(poll.incarnation, poll.usage, now)
        if (poll.serviceMillis > 0) leader.placement.observeServiceTime(poll.serviceMillis.milliseconds)
        return pollReply(leader, poll)
    }

    private fun pollReply(
        leader: LeaderState,
        poll: PeerMessage.Poll,
    ): PeerMessage.PollReply {
        val state = leader.state
        val revision = state.configuration.revision
        val missing = (poll.revision + 1..revision).map { state.recentChanges[it] }
        val isComplete = missing.size <= MAX_CHANGES_PER_REPLY && missing.none { it == null }
        val suspectsVersion = state.suspects.hashCode().toLong()
        return PeerMessage.PollReply(
            term = leader.term,
            revision = revision,
            changes = if (isComplete) missing.filterNotNull() else emptyList(),
            snapshot = state.configuration.takeUnless { isComplete },
            view = leader.view.takeUnless { it.term == poll.viewTerm && it.version == poll.viewVersion },
            inFlight = leader.placement.inFlight().filterValues { it > 0 },
            suspects =
                state.suspects.values
                    .toList()
                    .takeUnless { suspectsVersion == poll.suspectsVersion },
            suspectsVersion = suspectsVersion,
        )
    }

    private fun onAnnounced(
        leader: LeaderState,
        message: PeerMessage.Announced,
    ): PeerMessage {
        val announcement = message.announcement
        val now = clock.elapsed()
        val previous = leader.recordAnnouncement(announcement, now)
        recordBackendEvent(previous, announcement)
        verifyCrashes(announcement, now)
        if (announcement.kind == BackendKind.MODEL) applyOutput(leader, leader.placement.applyAnnouncement(announcement, now))
        if (previous == null || previous.leaving != announcement.leaving || previous.incarnation != announcement.incarnation) {
            leader.refreshView(leader.state.configuration.draining.keys)
        }
        return PeerMessage.Ack
    }

    private fun recordBackendEvent(
        previous: Announcement?,
        announcement: Announcement,
    ) {
        val fields = mapOf("server" to announcement.server, "serves" to announcement.serves)
        when {
            previous == null -> timeline.record(EventKind.BACKEND_JOINED, fields = fields)
            previous.incarnation != announcement.incarnation -> timeline.record(EventKind.BACKEND_RESTARTED, fields = fields)
            !previous.leaving && announcement.leaving -> timeline.record(EventKind.BACKEND_LEAVING, fields = fields)
        }
    }

    /**
     * Clears a reported crash when the server still announces the same incarnation [CRASH_VERIFICATION_DELAY] after the report:
     * a crashed server would have come back with a new incarnation.
     */
    private fun verifyCrashes(
        announcement: Announcement,
        now: Duration,
    ) {
        val crash = "${announcement.server}#${announcement.incarnation}"
        val reportedAt = unverifiedCrashes[crash] ?: return
        if (now - reportedAt < CRASH_VERIFICATION_DELAY) return
        unverifiedCrashes -= crash
        scope.launch { replica.propose(Command.RetractCrash(crash)) }
    }

    private suspend fun onPlace(
        leader: LeaderState,
        place: PeerMessage.Place,
    ): PeerMessage {
        val now = clock.elapsed()
        val request =
            PlacementRequest(
                id = requestIds.incrementAndGet(),
                instance = place.instance,
                workspace = place.workspace,
                model = place.model,
                adapter = place.adapter,
                deadline = now + place.waitMillis.milliseconds,
                tokens = place.tokens,
                zone = place.zone,
                exclude = place.exclude,
                suspect = place.suspect,
            )
        val decision = CompletableDeferred<PlacementDecision>()
        pendingPlacements[request.id] = decision
        applyOutput(leader, leader.placement.place(request, now))
        return PeerMessage.PlaceReply(leader.term, decision.await())
    }

    private fun onNotLoaded(
        leader: LeaderState,
        message: PeerMessage.NotLoaded,
    ): PeerMessage {
        applyOutput(leader, leader.placement.recordNotLoaded(message.server, message.adapter))
        return PeerMessage.Ack
    }

    private fun applyOutput(
        leader: LeaderState,
        output: PlacementOutput,
    ) {
        for (answer in output.answers) pendingPlacements.remove(answer.request.id)?.complete(answer.decision)
        for (order in output.orders) scope.launch { load(leader, order) }
    }

    private suspend fun load(
        leader: LeaderState,
        order: Order.Load,
    ) {
        val server = leader.backend(order.server) ?: return
        if (!replica.isLeading || active !== leader) return
        val fields = mapOf("server" to order.server, "adapter" to order.adapter.toString())
        order.evict?.let {
            timeline.record(
                EventKind.ADAPTER_EVICTED,
                fields = mapOf("server" to order.server, "adapter" to it.toString()),
            )
        }
        timeline.record(EventKind.LOAD_STARTED, fields = fields)
        val loaded = loadOrFail(server, order, leader.term)
        timeline.record(if (loaded) EventKind.LOAD_FINISHED else EventKind.LOAD_FAILED, fields = fields)
        if (active === leader) applyOutput(leader, leader.placement.recordLoadResult(order.server, order.adapter, loaded, clock.elapsed()))
    }

    /** Returns false if the exchange with [server] fails in any way, so that its outcome is always recorded. */
    private suspend fun loadOrFail(
        server: Announcement,
        order: Order.Load,
        fencingToken: Long,
    ): Boolean =
        try {
            adapterLoader.load(server, order, fencingToken)
        } catch (e: Throwable) {
            if (e.isFatal) throw e
            currentCoroutineContext().ensureActive()
            log.error("load_failed", "server" to order.server, "adapter" to order.adapter, "error" to e)
            false
        }

    private suspend fun onGrant(
        leader: LeaderState,
        request: PeerMessage.GrantRequest,
    ): PeerMessage {
        leader.buckets.updateLimits(leader.state.configuration.workspaces, clock.elapsed())
        var grant = grant(leader, request) ?: return PeerMessage.Failed("no workspace '${request.workspace}'")
        val bucket = leader.buckets[request.workspace]
        if (grant.tokens < request.needed && bucket != null && bucket.needsCheckpoint(request.needed)) {
            commitCheckpoints(leader) { leader.buckets.dueCheckpoints(clock.elapsed(), request.workspace, request.needed) }
            grant = grant(leader, request) ?: grant
        }
        return if (replica.isLeading) PeerMessage.GrantReply(grant) else PeerMessage.NotLeader(replica.view.leader?.instance)
    }

    private fun grant(
        leader: LeaderState,
        request: PeerMessage.GrantRequest,
    ): Grant? = leader.buckets.grant(request.workspace, request.incarnation, request.needed, request.wanted, request.usage, clock.elapsed())

    private suspend fun commitDueCheckpoints(leader: LeaderState) =
        commitCheckpoints(leader) {
            leader.buckets.dueCheckpoints(clock.elapsed())
        }

    private suspend fun commitCheckpoints(
        leader: LeaderState,
        dueCheckpoints: () -> Map<String, CheckpointBounds>,
    ) = checkpointLock.withLock {
        val due = dueCheckpoints()
        if (due.isEmpty()) return@withLock
        val command = Command.Checkpoint(due.mapValues { BucketCheckpoint(it.value.level, it.value.outstanding) })
        replica.propose(command).onRight { if (active === leader) leader.buckets.recordCommitted(due) }
    }

    private suspend fun onPropose(message: PeerMessage.Propose): PeerMessage {
        val command = message.command
        if (command is Command.RecordCrash) unverifiedCrashes[command.crash] = clock.elapsed()
        val result = replica.propose(command)
        return result.fold({ PeerMessage.ProposeReply(error = it) }, { PeerMessage.ProposeReply(outcome = it) })
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "leader"
        private val TICK_INTERVAL = 100.milliseconds

        /** How long after a reported crash an announcement of the same incarnation refutes it. */
        private val CRASH_VERIFICATION_DELAY = 1500.milliseconds

        /** An instance that lacks more changes than this gets a snapshot of the configuration instead. */
        private const val MAX_CHANGES_PER_REPLY = 512
    }
}
