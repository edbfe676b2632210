package anvilslip.gateway

import anvilslip.kernel.EventLogger
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingWorkspace
import anvilslip.policy.WorkspaceBucket
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
    private class WorkspaceShare(
        val rate: Double,
        val burst: Double,
        val bucket: WorkspaceBucket,
    )

    private val log = EventLogger("admission")
    private val spentSinceLog = HashMap<String, Long>()
    private var loggedAt = Duration.ZERO
    private val shares = HashMap<String, WorkspaceShare>()
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
        val eligible = candidates.filter { canServe(it, request) }
        val best =
            eligible.minByOrNull { countRunning(it.id) + if (it.zone == request.zone) 0.0 else OTHER_ZONE_PENALTY }
                ?: return DispatchDecision.Refuse(DispatchRefusal.LOADING, RETRY_AFTER.inWholeMilliseconds)
        val limits = request.workspace?.takeIf { request.charge > 0 }?.let(::limitedWorkspace)
        val entries = clusterView.entryCount
        if (limits != null && entries == null) return refuseOverLimit(RETRY_AFTER)
        val bucket = if (limits != null && entries != null) bucket(limits, entries, now) else null
        val wait = bucket?.waitTime(request.charge.toDouble(), now) ?: Duration.ZERO
        if (wait.isPositive()) return refuseOverLimit(wait)
        if (bucket != null) spend(bucket, request, now)
        return DispatchDecision.Send(best.id, best.address, version = version(request))
    }

    private fun spend(
        bucket: WorkspaceBucket,
        request: DispatchRequest,
        now: Duration,
    ) {
        bucket.spend(request.charge.toDouble(), now)
        spentSinceLog.merge(request.workspace!!, request.charge, Long::plus)
        if (now - loggedAt >= LOG_INTERVAL) logSpent(now)
    }

    private fun logSpent(now: Duration) {
        for ((workspace, tokens) in spentSinceLog) {
            log.info(
                "limit_spent_locally",
                "workspace" to workspace,
                "charged" to tokens,
                "since_ms" to (now - loggedAt).inWholeMilliseconds,
                "level" to shares[workspace]?.bucket?.level?.toLong(),
                "rate" to shares[workspace]?.rate?.toLong(),
                "entries" to clusterView.entryCount,
            )
        }
        spentSinceLog.clear()
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

    private fun refuseOverLimit(wait: Duration) =
        DispatchDecision.Refuse(DispatchRefusal.OVER_LIMIT, wait.inWholeMilliseconds.coerceAtLeast(1))

    private fun limitedWorkspace(name: String): ServingWorkspace? =
        clusterView.active.configuration
            ?.workspaces
            ?.firstOrNull { it.name == name && it.ratePerSecond > 0 }

    private fun bucket(
        limits: ServingWorkspace,
        entries: Int,
        now: Duration,
    ): WorkspaceBucket {
        val rate = limits.ratePerSecond / entries
        val burst = limits.burst / entries
        val share = shares[limits.name]?.takeIf { it.rate == rate && it.burst == burst }
        return (share ?: WorkspaceShare(rate, burst, WorkspaceBucket(rate, burst, burst, now)).also { shares[limits.name] = it }).bucket
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
