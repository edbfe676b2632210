package anvilslip.control

import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.PlacementDecision
import anvilslip.policy.FleetView
import anvilslip.policy.InstanceView
import anvilslip.policy.PlacementOptions
import anvilslip.policy.RefusalReason
import anvilslip.policy.Reservation
import anvilslip.policy.TokenBucket
import anvilslip.policy.Usage
import anvilslip.policy.AdapterUse
import anvilslip.state.Command
import anvilslip.state.Configuration
import anvilslip.state.Outcome
import anvilslip.state.ProposeError
import anvilslip.state.Suspect
import anvilslip.state.withChange
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What an instance knows and may do through the leader: the configuration and how fresh it is, the fleet, tokens of
 * workspaces, and use leases on adapters.
 */
public class ControlService(
    private val self: InstanceView,
    private val incarnation: String,
    private val leaderClient: LeaderClient,
    private val clock: Clock,
    private val timeline: Timeline,
    private val pollInterval: Duration,
    private val maxStaleness: Duration,
    placementOptions: PlacementOptions = PlacementOptions(),
) : Service {
    override val name: String = NAME
    private val log = EventLogger("control")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val tokens = ConcurrentHashMap<String, WorkspaceTokens>()
    private val reported = HashMap<String, Usage>()
    private val serviceTotal = AtomicLong()
    private val serviceCount = AtomicLong()
    private var suspectsVersion = -1L
    private var wasFresh = false

    /** Use leases of this instance. */
    public val useLeases: UseLeaseTable = UseLeaseTable(placementOptions.useLease)

    /** The configuration in force here. */
    @Volatile
    public var configuration: Configuration = Configuration()
        private set

    /** The fleet as the leader last told it. */
    @Volatile
    public var view: FleetView = FleetView()
        private set

    /** Requests that have crashed servers, by fingerprint. */
    @Volatile
    public var suspects: Map<String, Suspect> = emptyMap()
        private set

    /** Requests in flight from all instances, by server, as the leader last told it. */
    @Volatile
    public var fleetInFlight: Map<String, Int> = emptyMap()
        private set

    /** True once callers are to be told of other instances only; requests that come all the same are still served. */
    @Volatile
    public var leaving: Boolean = false

    /** True once new requests are refused. */
    @Volatile
    public var draining: Boolean = false

    @Volatile
    private var freshUntil: Duration = Duration.ZERO

    /** True while the configuration here is known to be recent enough to serve keyed requests. */
    public val isFresh: Boolean get() = clock.elapsed() < freshUntil

    override suspend fun start() {
        scope.launch {
            while (true) {
                poll()
                delay(if (useLeases.isEmpty) pollInterval * IDLE_FACTOR else pollInterval)
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Counts a request that took [duration] at its server. */
    public fun observeServiceTime(duration: Duration) {
        serviceTotal.addAndGet(duration.inWholeMilliseconds)
        serviceCount.incrementAndGet()
    }

    /** Sets [needed] tokens of [workspace] aside, asking the leader for more when there are too few here. */
    public suspend fun reserve(
        workspace: String,
        needed: Double,
    ): Either<TokenRefusal, Reservation> {
        val limits = configuration.workspaces[workspace] ?: return TokenRefusal.LeaderUnreachable.left()
        if (needed > limits.burstTokens) return TokenRefusal.OverBurst.left()
        val own = tokens.computeIfAbsent(workspace) { WorkspaceTokens() }
        own.reserve(needed, clock.elapsed())?.let { return it.right() }
        return own.asking.withLock { reserveFromLeader(own, workspace, needed) }
    }

    /** Spends [reservation]; false when it has expired. */
    public fun commit(
        workspace: String,
        reservation: Reservation,
    ): Boolean = tokens[workspace]?.commit(reservation, clock.elapsed()) ?: false

    /** Gives up [reservation]. */
    public fun cancel(
        workspace: String,
        reservation: Reservation,
    ) {
        tokens[workspace]?.cancel(reservation, clock.elapsed())
    }

    /** Asks the leader for a server. On success a request is counted in [useLeases]; end it with [UseLeaseTable.finishRequest]. */
    public suspend fun requestPlacement(
        workspace: String,
        model: String,
        adapter: AdapterVersion,
        wait: Duration,
        tokens: Double,
        exclude: Set<String>,
        suspect: String?,
    ): PlacementDecision {
        val message =
            PeerMessage.Place(self.name, workspace, model, adapter, wait.inWholeMilliseconds, tokens, self.zone, exclude, suspect)
        val askedAt = clock.elapsed()
        val answer = leaderClient.call(message, wait + ANSWER_MARGIN, attemptTimeout = wait + ANSWER_MARGIN)
        val reply = answer.getOrNull() as? PeerMessage.PlaceReply ?: return PlacementDecision.Refused(RefusalReason.STARTING, LEADER_RETRY_MILLIS)
        val decision = reply.decision
        if (decision is PlacementDecision.Placed) {
            val decidedAt = askedAt + decision.stalledMillis.milliseconds
            useLeases.recordPlacement(decision.server, adapter, reply.term, decision.lease, decidedAt, clock.elapsed())
        }
        return decision
    }

    /** Tells the leader that [server] does not hold [adapter]. */
    public suspend fun reportNotLoaded(
        server: String,
        adapter: AdapterVersion,
    ) {
        useLeases.invalidate(server, adapter)
        leaderClient.call(PeerMessage.NotLoaded(server, adapter), CALL_TIMEOUT)
    }

    /** Passes on what a backend server says of itself; true when the leader has it. */
    public suspend fun forwardAnnouncement(announcement: Announcement): Boolean =
        leaderClient.call(PeerMessage.Announced(announcement), ANNOUNCE_TIMEOUT).getOrNull() is PeerMessage.Ack

    /** Has [command] agreed on. Commands may be repeated without harm, so they are until [timeout]. */
    public suspend fun propose(
        command: Command,
        timeout: Duration = PROPOSE_TIMEOUT,
    ): Either<ProposeError, Outcome> {
        val deadline = clock.elapsed() + timeout
        var mayHaveTakenEffect = false
        while (true) {
            val left = deadline - clock.elapsed()
            if (!left.isPositive()) return (if (mayHaveTakenEffect) ProposeError.Unknown else ProposeError.NotLeader(null)).left()
            val answer = leaderClient.call(PeerMessage.Propose(command), left)
            val reply = answer.getOrNull() as? PeerMessage.ProposeReply
            reply?.outcome?.let { return it.right() }
            if (reply?.error is ProposeError.Unknown || answer.leftOrNull() is PeerError.NoAnswer) mayHaveTakenEffect = true
            delay(PROPOSE_RETRY)
        }
    }

    /** Reports to the leader at once. */
    public suspend fun poll() {
        val now = clock.elapsed()
        val report = useLeases.createReport(now)
        val totals = tokens.mapValues { it.value.report(now) }
        val poll =
            PeerMessage.Poll(
                instance = self.copy(draining = leaving),
                incarnation = incarnation,
                revision = configuration.revision,
                viewTerm = view.term,
                viewVersion = view.version,
                suspectsVersion = suspectsVersion,
                uses = report,
                usage = totals.filter { reported[it.key] != it.value },
                serviceMillis = takeServiceMean(),
            )
        val reply = leaderClient.call(poll, POLL_TIMEOUT).getOrNull() as? PeerMessage.PollReply
        if (reply != null) take(reply, report, totals, now)
        noteFreshness()
    }

    private fun takeServiceMean(): Long {
        val count = serviceCount.getAndSet(0)
        val total = serviceTotal.getAndSet(0)
        return if (count == 0L) 0 else total / count
    }

    private fun take(
        reply: PeerMessage.PollReply,
        report: List<AdapterUse>,
        totals: Map<String, Usage>,
        sentAt: Duration,
    ) {
        if (reply.term < view.term) return
        if (reply.term == view.term) useLeases.renew(report, reply.term, sentAt)
        reported += totals
        reply.view?.let { view = it }
        fleetInFlight = reply.inFlight
        reply.suspects?.let { list -> suspects = list.associateBy { it.fingerprint } }
        suspectsVersion = reply.suspectsVersion
        takeConfiguration(reply)
        if (configuration.revision >= reply.revision) freshUntil = sentAt + maxStaleness
    }

    private fun takeConfiguration(reply: PeerMessage.PollReply) {
        val before = configuration.revision
        var next = reply.snapshot?.takeIf { it.revision > before } ?: configuration
        for (change in reply.changes) next = next.withChange(change).getOrElse { error("an accepted change does not apply: $it") }
        check(next.revision >= before) { "the configuration would revert from $before to ${next.revision}" }
        if (next.revision == before) return
        configuration = next
        timeline.record(EventKind.CONFIGURATION_CHANGED, fields = mapOf("revision" to next.revision.toString()))
    }

    private fun noteFreshness() {
        if (wasFresh && !isFresh) timeline.record(EventKind.STALE_CONFIGURATION, cause = "leader unreachable")
        if (wasFresh != isFresh) log.info("freshness_changed", "fresh" to isFresh)
        wasFresh = isFresh
    }

    private suspend fun reserveFromLeader(
        own: WorkspaceTokens,
        workspace: String,
        needed: Double,
    ): Either<TokenRefusal, Reservation> {
        val askedAt = clock.elapsed()
        own.reserve(needed, askedAt)?.let { return it.right() }
        val message = PeerMessage.GrantRequest(incarnation, workspace, needed, own.wanted(needed, askedAt), own.usage)
        val reply = leaderClient.call(message, GRANT_TIMEOUT).getOrNull() as? PeerMessage.GrantReply
        if (reply == null) return TokenRefusal.LeaderUnreachable.left()
        own.take(reply.grant, askedAt, clock.elapsed())
        own.reserve(needed, clock.elapsed())?.let { return it.right() }
        return TokenRefusal
            .OverLimit(
                reply.grant.retryAfterMillis
                    .coerceAtLeast(MIN_RETRY_MILLIS)
                    .milliseconds,
            ).left()
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "control"
        private const val IDLE_FACTOR = 2
        private val POLL_TIMEOUT = 1.seconds
        private val CALL_TIMEOUT = 1.seconds
        private val ANNOUNCE_TIMEOUT = 1.seconds
        private val GRANT_TIMEOUT = TokenBucket.GRANT_LIFETIME
        private val PROPOSE_TIMEOUT = 5.seconds
        private val PROPOSE_RETRY = 50.milliseconds
        private val ANSWER_MARGIN = 500.milliseconds
        private const val LEADER_RETRY_MILLIS = 500L
        private const val MIN_RETRY_MILLIS = 20L
    }
}
