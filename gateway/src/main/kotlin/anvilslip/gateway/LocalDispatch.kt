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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides on requests locally while no leader can be reached. Uses only servers that already hold the adapter, and only this
 * instance's share of each rate limit, which the leader reserves for instances that it cannot reach.
 */
public class LocalDispatch(
    private val clusterView: ClusterView,
    private val countRunning: (server: String) -> Int,
) {
    private val log = EventLogger("admission")
    private val limits = LocalLimits()
    private var loggedAt = Duration.ZERO
    private val recentHolders =
        object : LinkedHashMap<AdapterName, String>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<AdapterName, String>): Boolean = size > MAX_RECENT_HOLDERS
        }

    /** Records that [server] has served a request for [adapter]. */
    @Synchronized
    public fun recordHolder(
        server: String,
        adapter: AdapterName,
    ) {
        recentHolders[adapter] = server
    }

    /** Selects a server for [request], or refuses it. */
    @Synchronized
    public fun decide(
        request: DispatchRequest,
        now: Duration,
    ): DispatchDecision {
        val candidates =
            clusterView.servers().filter {
                it.service == request.service && it.phase == ServerPhase.READY && it.id !in request.exclude
            }
        if (candidates.isEmpty()) return DispatchDecision.Refuse(DispatchRefusal.NO_SERVER, RETRY_AFTER.inWholeMilliseconds)
        // The share of this instance in what cold servers tolerate is zero, so that all instances together keep within the limit.
        val eligible = candidates.filter { canServe(it, request) && !clusterView.isCold(it) }
        val best =
            eligible.minByOrNull { countRunning(it.id) + if (it.zone == request.zone) 0.0 else OTHER_ZONE_PENALTY }
                ?: return DispatchDecision.Refuse(DispatchRefusal.LOADING, RETRY_AFTER.inWholeMilliseconds)
        chargeOrRefuse(request, now)?.let { return it }
        return DispatchDecision.Send(best.id, best.address, version = version(request))
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
        val entries = clusterView.entryCount ?: return refuseOverLimit()
        if (limits.waitTime(workspace, request.charge, entries, now).isPositive()) return refuseOverLimit()
        limits.spend(workspace, request.charge, entries, now)
        if (now - loggedAt >= LOG_INTERVAL) logLimits(entries, now)
        return null
    }

    /** The retry delay is not that of the local share, since a leader, or an instance that reaches one, knows the whole limit. */
    private fun refuseOverLimit() = DispatchDecision.Refuse(DispatchRefusal.OVER_LIMIT, RETRY_AFTER.inWholeMilliseconds)

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
        return adapter in held.adapters || recentHolders[AdapterName(model, adapter)] == server.id
    }

    private companion object {
        val RETRY_AFTER = 500.milliseconds

        /** Running requests that a server in another zone counts as having in addition. */
        const val OTHER_ZONE_PENALTY = 0.5
        val LOG_INTERVAL = 500.milliseconds
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_RECENT_HOLDERS = 512
    }
}
