package anvilslip.gateway

import anvilslip.kernel.EventLogger
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.LocalLimits
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingWorkspace
import anvilslip.state.AdapterName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides on requests locally while no leader can be reached. Uses only servers that already hold the adapter, and only this
 * instance's share of each rate limit, which the leader reserves for instances that it cannot reach. Of two random servers that can serve
 * a request it chooses the one with the shorter expected wait: all instances decide at the same time and see only their own requests, so
 * they would all send to the server that looks best.
 */
public class LocalDispatch(
    private val clusterView: ClusterView,
    private val load: LocalLoad,
    private val random: Random,
) {
    private val log = EventLogger("admission")
    private val limits = LocalLimits()
    private var loggedAt = Duration.ZERO
    private val recentHolders = AdapterHolders()

    /** Decides with a random source of its own. */
    public constructor(clusterView: ClusterView, load: LocalLoad) : this(clusterView, load, Random.Default)

    /** Records that [server] has served a request for [adapter]. */
    @Synchronized
    public fun recordHolder(
        server: String,
        adapter: AdapterName,
    ) {
        recentHolders.record(server, adapter)
    }

    /** Records that [server] was expected to hold [adapter] and does not. */
    @Synchronized
    public fun recordNotHeld(
        server: String,
        adapter: AdapterName,
    ) {
        recentHolders.remove(server, adapter)
    }

    /** True if a server is known that may run [request] and holds what it needs. */
    @Synchronized
    public fun knowsServer(request: DispatchRequest): Boolean = clusterView.servers().any { isOpen(it, request) }

    /**
     * Selects a server for [request] that is expected to answer it within its target, or returns null if there is none, or if only a leader
     * can decide: on a request that may crash servers, or that is beyond this instance's share of a limit.
     */
    @Synchronized
    public fun decideIfSoon(
        request: DispatchRequest,
        now: Duration,
    ): DispatchDecision.Send? {
        if (request.isSuspect) return null
        val best = chooseOfTwo(clusterView.servers().filter { isOpen(it, request) }, request) ?: return null
        if (expectedWaitMillis(best, request) > request.targetMillis || chargeOrRefuse(request, now) != null) return null
        return send(best, request)
    }

    private fun isOpen(
        server: ServerReport,
        request: DispatchRequest,
    ): Boolean =
        server.service == request.service && server.phase == ServerPhase.READY && canServe(server, request) &&
            server.id !in request.exclude && request.mayRunOn(server) && !clusterView.isEvacuated(server) &&
            !clusterView.isCold(server) && !clusterView.isLimited(server)

    /** Selects a server for [request], or refuses it. */
    @Synchronized
    public fun decide(
        request: DispatchRequest,
        now: Duration,
    ): DispatchDecision {
        val ready = clusterView.servers().filter { it.service == request.service && it.phase == ServerPhase.READY }
        val available = ready.filterNot(clusterView::isEvacuated)
        if (available.isEmpty() && ready.isNotEmpty()) return DispatchDecision.Refuse.evacuated(ready.size)
        val fitting = available.filter(request::mayRunOn)
        if (fitting.isEmpty() && available.isNotEmpty()) return refuse(DispatchRefusal.VERSION_GONE, request)
        val candidates = fitting.filter { it.id !in request.exclude }
        if (candidates.isEmpty()) return refuse(DispatchRefusal.NO_SERVER, request)
        // The share of this instance in what cold servers tolerate is zero, so that all instances together keep within the limit.
        val eligible = candidates.filter { canServe(it, request) && !clusterView.isCold(it) }
        // The same holds for servers that have named a limit.
        val open = eligible.filterNot(clusterView::isLimited)
        val reason = if (eligible.isEmpty()) DispatchRefusal.LOADING else DispatchRefusal.LIMITED
        val best = chooseOfTwo(open, request) ?: return refuse(reason, request)
        chargeOrRefuse(request, now)?.let { return it }
        return send(best, request)
    }

    private fun send(
        server: ServerReport,
        request: DispatchRequest,
    ) = DispatchDecision.Send(
        server.id,
        server.address,
        version = version(request),
        softwareVersion = server.softwareVersion.ifEmpty { null },
    )

    private fun chooseOfTwo(
        eligible: List<ServerReport>,
        request: DispatchRequest,
    ): ServerReport? {
        if (eligible.isEmpty()) return null
        val first = random.nextInt(eligible.size)
        val second = if (eligible.size == 1) first else (first + random.nextInt(1, eligible.size)) % eligible.size
        return listOf(eligible[first], eligible[second]).minBy { expectedWaitMillis(it, request) }
    }

    private fun expectedWaitMillis(
        server: ServerReport,
        request: DispatchRequest,
    ): Double {
        val transit = if (server.zone == request.zone) 0.0 else OTHER_ZONE_MILLIS
        return transit + load.expectedWaitMillis(server.id, server.service, request.promptTokens)
    }

    /** Refuses [request] with a random retry delay, so that clients that are refused together do not all return together. */
    private fun refuse(
        reason: DispatchRefusal,
        request: DispatchRequest,
    ): DispatchDecision.Refuse {
        val untilLeader = random.nextLong(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS + 1)
        val latest = (request.remainingMillis / RETRY_DEADLINE_PARTS).coerceAtLeast(0)
        return DispatchDecision.Refuse(reason, minOf(untilLeader, latest))
    }

    /** Records that a leader granted the tokens of [request]. */
    @Synchronized
    public fun recordGranted(
        request: DispatchRequest,
        now: Duration,
    ) {
        val workspace = limitedWorkspace(request) ?: return
        limits.recordGranted(workspace, request.charge, clusterView.entryCount ?: return, now)
    }

    /** Charges [request] to the limit of its workspace and returns null, or returns a refusal if this instance's share is used up. */
    private fun chargeOrRefuse(
        request: DispatchRequest,
        now: Duration,
    ): DispatchDecision.Refuse? {
        val workspace = limitedWorkspace(request) ?: return null
        val entries = clusterView.entryCount ?: return refuseOverLimit(request)
        if (limits.waitTime(workspace, request.charge, entries, now).isPositive()) return refuseOverLimit(request)
        limits.spend(workspace, request.charge, entries, now)
        if (now - loggedAt >= LOG_INTERVAL) logLimits(entries, now)
        return null
    }

    /** The retry delay is not that of the local share, since a leader, or an instance that reaches one, knows the whole limit. */
    private fun refuseOverLimit(request: DispatchRequest) = refuse(DispatchRefusal.OVER_LIMIT, request)

    private fun limitedWorkspace(request: DispatchRequest): ServingWorkspace? {
        if (request.workspace == null || request.charge <= 0) return null
        val workspaces =
            clusterView.active.configuration
                ?.workspaces
                .orEmpty()
        return workspaces.firstOrNull { it.name == request.workspace && it.ratePerSecond > 0 }
    }

    private fun logLimits(
        entries: Int,
        now: Duration,
    ) {
        for (usage in limits.takeUsage()) {
            log.info(
                "limit_spent_locally",
                "workspace" to usage.workspace,
                "charged" to usage.charged,
                "since_ms" to (now - loggedAt).inWholeMilliseconds,
                "level" to usage.level.toLong(),
                "rate" to usage.rate.toLong(),
                "entries" to entries,
            )
        }
        loggedAt = now
    }

    private fun version(request: DispatchRequest): Long? {
        val name = AdapterName(request.model ?: return null, request.adapter ?: return null)
        return clusterView.active.versions[name]
    }

    private fun canServe(
        server: ServerReport,
        request: DispatchRequest,
    ): Boolean {
        val model = request.model ?: return true
        val held = server.models.orEmpty().firstOrNull { it.name == model } ?: return false
        val adapter = request.adapter ?: return true
        return adapter in held.adapters || server.id in recentHolders[AdapterName(model, adapter)]
    }

    private companion object {
        /** Time in milliseconds within which a leader is expected: an election takes about 0.3 to 1 s. */
        const val MIN_RETRY_MILLIS = 300L
        const val MAX_RETRY_MILLIS = 1000L

        /** A retry after more than a third of the remaining time would often end after the deadline. */
        const val RETRY_DEADLINE_PARTS = 3

        /** Additional time in milliseconds that a server in another zone counts with; decides between servers that are as busy. */
        const val OTHER_ZONE_MILLIS = 0.5
        val LOG_INTERVAL = 500.milliseconds
    }
}
