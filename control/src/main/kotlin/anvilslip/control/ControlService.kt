package anvilslip.control

import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.kernel.launchSupervised
import anvilslip.policy.AdapterUse
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.FleetView
import anvilslip.policy.InstanceView
import anvilslip.policy.PlacementDecision
import anvilslip.policy.PlacementOptions
import anvilslip.policy.RefusalReason
import anvilslip.policy.Reservation
import anvilslip.policy.TokenBucket
import anvilslip.policy.Usage
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
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The connection of an instance to the leader. Polls the leader for the configuration and the fleet view, reserves tokens of
 * workspaces, requests placements, and keeps the use leases on adapters.
 *
 * @param maxStaleness how long the configuration counts as fresh after the last poll that confirmed it
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
    private val reportedUsage = HashMap<String, Usage>()
    private val serviceMillisTotal = AtomicLong()
    private val serviceCount = AtomicLong()
    private var suspectsVersion = -1L
    private var wasFresh = false

    /** Use leases held by this instance. */
    public val useLeases: UseLeaseTable = UseLeaseTable(placementOptions.useLease)

    /** The configuration in force on this instance. */
    @Volatile
    public var configuration: Configuration = Configuration()
        private set

    /** The fleet view last received from the leader. */
    @Volatile
    public var view: FleetView = FleetView()
        private set

    /** Requests that were running on servers when these crashed, by fingerprint. */
    @Volatile
    public var suspects: Map<String, Suspect> = emptyMap()
        private set

    /** Requests in flight from all instances, by server, as last received from the leader. */
    @Volatile
    public var fleetInFlight: Map<String, Int> = emptyMap()
        private set

    /** True once callers are directed to other instances only. Requests that still arrive are served. */
    @Volatile
    public var leaving: Boolean = false

    /** True once this instance rejects new requests. */
    @Volatile
    public var draining: Boolean = false

    @Volatile
    private var freshUntil: Duration = Duration.ZERO

    /** True while the configuration is known to be recent enough to serve requests that carry an API key. */
    public val isFresh: Boolean get() = clock.elapsed() < freshUntil

    override suspend fun start() {
        scope.launchSupervised("control") { recordProgress ->
            while (true) {
                poll()
                recordProgress()
                delay(if (useLeases.isEmpty) pollInterval * IDLE_POLL_FACTOR else pollInterval)
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Records that a server took [duration] to serve a request; the mean is reported to the leader with the next poll. */
    public fun observeServiceTime(duration: Duration) {
        serviceMillisTotal.addAndGet(duration.inWholeMilliseconds)
        serviceCount.incrementAndGet()
    }

    /** Reserves [needed] tokens of [workspace], requesting a grant from the leader when too few are left on this instance. */
    public suspend fun reserve(
        workspace: String,
        needed: Double,
    ): Either<TokenRefusal, Reservation> {
        val limits = configuration.workspaces[workspace] ?: return TokenRefusal.LeaderUnreachable.left()
        if (needed > limits.burstTokens) return TokenRefusal.OverBurst.left()
        val workspaceTokens = tokens.computeIfAbsent(workspace) { WorkspaceTokens() }
        workspaceTokens.reserve(needed, clock.elapsed())?.let { return it.right() }
        return workspaceTokens.grantLock.withLock { reserveFromLeader(workspaceTokens, workspace, needed) }
    }

    /** Spends the tokens of [reservation]. Returns false, without spending them, when it has expired. */
    public fun commit(
        workspace: String,
        reservation: Reservation,
    ): Boolean = tokens[workspace]?.commit(reservation, clock.elapsed()) ?: false

    /** Cancels [reservation] and releases its tokens. */
    public fun cancel(
        workspace: String,
        reservation: Reservation,
    ) {
        tokens[workspace]?.cancel(reservation, clock.elapsed())
    }

    /**
     * Asks the leader for a server that can serve a request to [adapter], waiting up to [wait] for one. A placed request counts as
     * started in [useLeases]; the caller ends it with [UseLeaseTable.finishRequest].
     *
     * @param exclude servers on which the request has failed already
     * @param suspect fingerprint of the request if it is suspected of crashing servers
     */
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
        val requestedAt = clock.elapsed()
        val answer = leaderClient.call(message, wait + ANSWER_MARGIN, attemptTimeout = wait + ANSWER_MARGIN)
        val reply =
            answer.getOrNull() as? PeerMessage.PlaceReply ?: return PlacementDecision.Refused(RefusalReason.STARTING, LEADER_RETRY_MILLIS)
        val decision = reply.decision
        if (decision is PlacementDecision.Placed) {
            val decidedAt = requestedAt + decision.stalledMillis.milliseconds
            useLeases.recordPlacement(decision.server, adapter, reply.term, decision.lease, decidedAt, clock.elapsed())
        }
        return decision
    }

    /** Ends the use lease on [adapter] and reports to the leader that [server] does not hold it. */
    public suspend fun reportNotLoaded(
        server: String,
        adapter: AdapterVersion,
    ) {
        useLeases.invalidate(server, adapter)
        leaderClient.call(PeerMessage.NotLoaded(server, adapter), CALL_TIMEOUT)
    }

    /** Forwards the announcement of a backend server to the leader. Returns true when the leader has acknowledged it. */
    public suspend fun announce(announcement: Announcement): Boolean =
        leaderClient.call(PeerMessage.Announced(announcement), ANNOUNCE_TIMEOUT).getOrNull() is PeerMessage.Ack

    /**
     * Proposes [command] to the leader and returns its outcome once it is committed. Commands are idempotent, so failed attempts
     * are retried until [timeout].
     */
    public suspend fun propose(
        command: Command,
        timeout: Duration = PROPOSE_TIMEOUT,
    ): Either<ProposeError, Outcome> {
        val deadline = clock.elapsed() + timeout
        var mayHaveTakenEffect = false
        while (true) {
            val remaining = deadline - clock.elapsed()
            if (!remaining.isPositive()) return (if (mayHaveTakenEffect) ProposeError.Unknown else ProposeError.NotLeader(null)).left()
            val answer = leaderClient.call(PeerMessage.Propose(command), remaining)
            val reply = answer.getOrNull() as? PeerMessage.ProposeReply
            reply?.outcome?.let { return it.right() }
            if (reply?.error is ProposeError.Unknown || answer.leftOrNull() is PeerError.NoAnswer) mayHaveTakenEffect = true
            delay(PROPOSE_RETRY_DELAY)
        }
    }

    /** Sends a report to the leader now and applies its answer. */
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
                usage = totals.filter { reportedUsage[it.key] != it.value },
                serviceMillis = resetServiceMean(),
            )
        val reply = leaderClient.call(poll, POLL_TIMEOUT).getOrNull() as? PeerMessage.PollReply
        if (reply != null) applyReply(reply, report, totals, now)
        recordFreshness()
    }

    private fun resetServiceMean(): Long {
        val count = serviceCount.getAndSet(0)
        val total = serviceMillisTotal.getAndSet(0)
        return if (count == 0L) 0 else total / count
    }

    private fun applyReply(
        reply: PeerMessage.PollReply,
        report: List<AdapterUse>,
        totals: Map<String, Usage>,
        sentAt: Duration,
    ) {
        if (reply.term < view.term) return
        if (reply.term == view.term) useLeases.renew(report, reply.term, sentAt)
        reportedUsage += totals
        reply.view?.let { view = it }
        fleetInFlight = reply.inFlight
        reply.suspects?.let { list -> suspects = list.associateBy { it.fingerprint } }
        suspectsVersion = reply.suspectsVersion
        applyConfiguration(reply)
        if (configuration.revision >= reply.revision) freshUntil = sentAt + maxStaleness
    }

    private fun applyConfiguration(reply: PeerMessage.PollReply) {
        val previousRevision = configuration.revision
        var next = reply.snapshot?.takeIf { it.revision > previousRevision } ?: configuration
        for (change in reply.changes) next = next.withChange(change).getOrElse { error("cannot apply committed change: $it") }
        check(next.revision >= previousRevision) { "configuration revision would decrease from $previousRevision to ${next.revision}" }
        if (next.revision == previousRevision) return
        configuration = next
        timeline.record(EventKind.CONFIGURATION_CHANGED, fields = mapOf("revision" to next.revision.toString()))
    }

    private fun recordFreshness() {
        if (wasFresh && !isFresh) timeline.record(EventKind.STALE_CONFIGURATION, cause = "leader unreachable")
        if (wasFresh != isFresh) log.info("freshness_changed", "fresh" to isFresh)
        wasFresh = isFresh
    }

    private suspend fun reserveFromLeader(
        workspaceTokens: WorkspaceTokens,
        workspace: String,
        needed: Double,
    ): Either<TokenRefusal, Reservation> {
        val requestedAt = clock.elapsed()
        workspaceTokens.reserve(needed, requestedAt)?.let { return it.right() }
        val message =
            PeerMessage.GrantRequest(
                incarnation,
                workspace,
                needed,
                workspaceTokens.tokensToRequest(needed, requestedAt),
                workspaceTokens.usage,
            )
        val reply = leaderClient.call(message, GRANT_TIMEOUT).getOrNull() as? PeerMessage.GrantReply
        if (reply == null) return TokenRefusal.LeaderUnreachable.left()
        workspaceTokens.addGrant(reply.grant, requestedAt, clock.elapsed())
        workspaceTokens.reserve(needed, clock.elapsed())?.let { return it.right() }
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

        /** Without use leases to renew, the leader is polled this many times less often. */
        private const val IDLE_POLL_FACTOR = 2
        private val POLL_TIMEOUT = 1.seconds
        private val CALL_TIMEOUT = 1.seconds
        private val ANNOUNCE_TIMEOUT = 1.seconds
        private val GRANT_TIMEOUT = TokenBucket.GRANT_LIFETIME
        private val PROPOSE_TIMEOUT = 5.seconds
        private val PROPOSE_RETRY_DELAY = 50.milliseconds

        /** Time beyond the waiting time of a placement within which the leader's answer must arrive. */
        private val ANSWER_MARGIN = 500.milliseconds
        private const val LEADER_RETRY_MILLIS = 500L
        private const val MIN_RETRY_MILLIS = 20L
    }
}
