package anvilslip.control

import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.policy.Announcement
import anvilslip.policy.BackendKind
import anvilslip.policy.CheckpointBounds
import anvilslip.policy.PlacementDecision
import anvilslip.policy.PlacementRequest
import anvilslip.policy.Grant
import anvilslip.policy.Order
import anvilslip.policy.PlacementOptions
import anvilslip.policy.PlacementOutput
import anvilslip.state.BucketCheckpoint
import anvilslip.state.Command
import anvilslip.state.Replica
import anvilslip.wire.PeerMessage
import anvilslip.wire.SystemStatus
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The part of an instance that acts while its replica leads: it owns the buckets of all workspaces, the placement of adapters
 * and the view of the fleet. What it hands out is bounded by the leader's lease, so two leaders never act at once.
 */
public class LeaderService(
    private val replica: Replica,
    private val orders: AdapterLoader,
    private val options: PlacementOptions,
    private val clock: Clock,
    private val timeline: Timeline,
) : Service {
    override val name: String = NAME

    @OptIn(ExperimentalCoroutinesApi::class)
    private val single = Dispatchers.Default.limitedParallelism(1, "leader")
    private val scope = CoroutineScope(SupervisorJob() + single)
    private val checkpoints = Mutex()
    private val demandIds = AtomicLong()
    private val waiting = HashMap<Long, CompletableDeferred<PlacementDecision>>()
    private val unverifiedCrashes = HashMap<String, Duration>()
    private var tenure: Tenure? = null

    override suspend fun start() {
        scope.launch {
            while (true) {
                delay(TICK)
                tick()
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Answers [message] if this instance leads. */
    public suspend fun handle(message: PeerMessage): PeerMessage =
        withContext(single) {
            val current = current()
            if (current == null) PeerMessage.NotLeader(replica.view.leader?.instance) else handle(current, message)
        }

    private suspend fun handle(
        current: Tenure,
        message: PeerMessage,
    ): PeerMessage =
        when (message) {
            is PeerMessage.Poll -> onPoll(current, message)
            is PeerMessage.Announced -> onAnnounced(current, message)
            is PeerMessage.Place -> onPlace(current, message)
            is PeerMessage.NotLoaded -> onNotLoaded(current, message)
            is PeerMessage.GrantRequest -> onGrant(current, message)
            is PeerMessage.Propose -> onPropose(message)
            is PeerMessage.StatusRequest -> PeerMessage.StatusReply(status(current))
            else -> PeerMessage.Failed("not a message for the leader")
        }

    /** The tenure of the current term, or null when this instance does not lead or its lease has run out. */
    private fun current(): Tenure? {
        if (!replica.isLeading) return null
        val view = replica.view
        val known = tenure
        if (known != null && known.term == view.term) return known
        endTenure()
        timeline.record(EventKind.LEADER_ELECTED, fields = mapOf("term" to view.term.toString()))
        return Tenure(view.term, view.state, options, clock.elapsed()).also {
            tenure = it
            it.buckets.configure(view.state.configuration.workspaces, clock.elapsed())
        }
    }

    private fun endTenure() {
        if (tenure != null) timeline.record(EventKind.LEADER_LOST, fields = mapOf("term" to tenure?.term.toString()))
        tenure = null
        unverifiedCrashes.clear()
        waiting.values.forEach { it.cancel() }
        waiting.clear()
    }

    private fun tick() {
        if (!replica.isLeading && tenure?.term != replica.view.term) endTenure()
        val current = current() ?: return
        val now = clock.elapsed()
        for (lost in current.removeSilentInstances(now)) {
            timeline.record(EventKind.INSTANCE_LOST, cause = "silent", fields = mapOf("lost" to lost.view.name))
        }
        for (lost in current.removeSilentBackends(now)) {
            timeline.record(EventKind.BACKEND_LOST, cause = "silent", fields = mapOf("server" to lost.server))
        }
        val configuration = replica.view.state.configuration
        current.buckets.configure(configuration.workspaces, now)
        current.renewView(configuration.draining.keys)
        carryOut(current, current.placement.tick(now))
        scope.launch { checkpointIfDue(current) }
    }

    private fun onPoll(
        current: Tenure,
        poll: PeerMessage.Poll,
    ): PeerMessage {
        val now = clock.elapsed()
        val record = InstanceRecord(poll.instance, poll.incarnation, poll.revision, now)
        if (current.heard(record)) {
            timeline.record(EventKind.INSTANCE_JOINED, fields = mapOf("joined" to poll.instance.name, "zone" to poll.instance.zone))
            current.renewView(replica.view.state.configuration.draining.keys)
        }
        if (poll.viewTerm == current.term) carryOut(current, current.placement.renewLeases(poll.instance.name, poll.uses, now))
        current.buckets.report(poll.incarnation, poll.usage, now)
        if (poll.serviceMillis > 0) current.placement.observeServiceTime(poll.serviceMillis.milliseconds)
        return pollReply(current, poll)
    }

    private fun pollReply(
        current: Tenure,
        poll: PeerMessage.Poll,
    ): PeerMessage.PollReply {
        val state = replica.view.state
        val revision = state.configuration.revision
        val missing = (poll.revision + 1..revision).map { state.recentChanges[it] }
        val complete = missing.size <= MAX_CHANGES && missing.none { it == null }
        val suspectsVersion = state.suspects.hashCode().toLong()
        return PeerMessage.PollReply(
            term = current.term,
            revision = revision,
            changes = if (complete) missing.filterNotNull() else emptyList(),
            snapshot = state.configuration.takeUnless { complete },
            view = current.view.takeUnless { it.term == poll.viewTerm && it.version == poll.viewVersion },
            inFlight = current.placement.inFlight().filterValues { it > 0 },
            suspects =
                state.suspects.values
                    .toList()
                    .takeUnless { suspectsVersion == poll.suspectsVersion },
            suspectsVersion = suspectsVersion,
        )
    }

    private fun onAnnounced(
        current: Tenure,
        message: PeerMessage.Announced,
    ): PeerMessage {
        val announcement = message.announcement
        val now = clock.elapsed()
        val previous = current.heard(announcement, now)
        recordAnnouncement(previous, announcement)
        verifyCrashes(announcement, now)
        if (announcement.kind == BackendKind.MODEL) carryOut(current, current.placement.applyAnnouncement(announcement, now))
        if (previous == null || previous.leaving != announcement.leaving || previous.incarnation != announcement.incarnation) {
            current.renewView(replica.view.state.configuration.draining.keys)
        }
        return PeerMessage.Ack
    }

    private fun recordAnnouncement(
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

    /** A server that still announces the same incarnation well after it was reported to have crashed has not crashed. */
    private fun verifyCrashes(
        announcement: Announcement,
        now: Duration,
    ) {
        val crash = "${announcement.server}#${announcement.incarnation}"
        val reportedAt = unverifiedCrashes[crash] ?: return
        if (now - reportedAt < ACQUITTAL_DELAY) return
        unverifiedCrashes -= crash
        scope.launch { replica.propose(Command.RetractCrash(crash)) }
    }

    private suspend fun onPlace(
        current: Tenure,
        place: PeerMessage.Place,
    ): PeerMessage {
        val now = clock.elapsed()
        val demand =
            PlacementRequest(
                id = demandIds.incrementAndGet(),
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
        waiting[demand.id] = decision
        carryOut(current, current.placement.place(demand, now))
        return PeerMessage.PlaceReply(current.term, decision.await())
    }

    private fun onNotLoaded(
        current: Tenure,
        message: PeerMessage.NotLoaded,
    ): PeerMessage {
        carryOut(current, current.placement.recordNotLoaded(message.server, message.adapter))
        return PeerMessage.Ack
    }

    private fun carryOut(
        current: Tenure,
        output: PlacementOutput,
    ) {
        for (answer in output.answers) waiting.remove(answer.request.id)?.complete(answer.decision)
        for (order in output.orders) scope.launch { load(current, order) }
    }

    private suspend fun load(
        current: Tenure,
        order: Order.Load,
    ) {
        val server = current.backend(order.server) ?: return
        if (!replica.isLeading || tenure !== current) return
        val fields = mapOf("server" to order.server, "adapter" to order.adapter.toString())
        order.evict?.let {
            timeline.record(
                EventKind.ADAPTER_EVICTED,
                fields = mapOf("server" to order.server, "adapter" to it.toString()),
            )
        }
        timeline.record(EventKind.LOAD_STARTED, fields = fields)
        val loaded = orders.load(server, order, fencingToken = current.term)
        timeline.record(if (loaded) EventKind.LOAD_FINISHED else EventKind.LOAD_FAILED, fields = fields)
        if (tenure === current) carryOut(current, current.placement.recordLoadResult(order.server, order.adapter, loaded, clock.elapsed()))
    }

    private suspend fun onGrant(
        current: Tenure,
        request: PeerMessage.GrantRequest,
    ): PeerMessage {
        current.buckets.configure(replica.view.state.configuration.workspaces, clock.elapsed())
        var grant = grant(current, request) ?: return PeerMessage.Failed("no workspace '${request.workspace}'")
        val bucket = current.buckets[request.workspace]
        if (grant.tokens < request.needed && bucket != null && bucket.needsCheckpoint(request.needed)) {
            agree(current) { current.buckets.due(clock.elapsed(), request.workspace, request.needed) }
            grant = grant(current, request) ?: grant
        }
        return if (replica.isLeading) PeerMessage.GrantReply(grant) else PeerMessage.NotLeader(replica.view.leader?.instance)
    }

    private fun grant(
        current: Tenure,
        request: PeerMessage.GrantRequest,
    ): Grant? = current.buckets.grant(request.workspace, request.incarnation, request.needed, request.wanted, request.usage, clock.elapsed())

    private suspend fun checkpointIfDue(current: Tenure) = agree(current) { current.buckets.due(clock.elapsed()) }

    private suspend fun agree(
        current: Tenure,
        starts: () -> Map<String, CheckpointBounds>,
    ) = checkpoints.withLock {
        val due = starts()
        if (due.isEmpty()) return@withLock
        val command = Command.Checkpoint(due.mapValues { BucketCheckpoint(it.value.level, it.value.outstanding) })
        replica.propose(command).onRight { if (tenure === current) current.buckets.agreed(due) }
    }

    private suspend fun onPropose(message: PeerMessage.Propose): PeerMessage {
        val command = message.command
        if (command is Command.RecordCrash) unverifiedCrashes[command.crash] = clock.elapsed()
        val result = replica.propose(command)
        return result.fold({ PeerMessage.ProposeReply(error = it) }, { PeerMessage.ProposeReply(outcome = it) })
    }

    private fun status(current: Tenure): SystemStatus {
        val now = clock.elapsed()
        val view = replica.view
        val inFlight = current.placement.inFlight()
        return SystemStatus(
            leader = view.id.instance,
            term = current.term,
            revision = view.state.configuration.revision,
            instances = current.allInstances.map { instanceStatus(it, now, view.state.configuration.draining.keys) },
            backends = current.allBackends.map { backendStatus(current, it, inFlight[it.server] ?: 0) },
            replicas = view.voters.map { it.instance }.sorted(),
            queuedLoads = current.placement.queuedLoads,
            suspects =
                view.state.suspects.values
                    .toList(),
            workspaces =
                current.buckets.names.sorted().mapNotNull { name ->
                    current.buckets[name]?.let { SystemStatus.WorkspaceStatus(name, it.level, it.outstanding) }
                },
        )
    }

    private fun instanceStatus(
        record: InstanceRecord,
        now: Duration,
        draining: Set<String>,
    ) = SystemStatus.InstanceStatus(
        name = record.view.name,
        zone = record.view.zone,
        address = record.view.address,
        revision = record.revision,
        draining = record.view.draining || record.view.name in draining,
        silentMillis = (now - record.heardAt).inWholeMilliseconds,
    )

    private fun backendStatus(
        current: Tenure,
        server: Announcement,
        inFlight: Int,
    ) = SystemStatus.BackendStatus(
        server = server.server,
        serves = server.serves,
        zone = server.zone,
        inFlight = inFlight,
        loaded = current.placement.loadedOn(server.server).size,
        slots = server.slots,
        leaving = server.leaving,
    )

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "leader"
        private val TICK = 100.milliseconds
        private val ACQUITTAL_DELAY = 1500.milliseconds
        private const val MAX_CHANGES = 512
    }
}
