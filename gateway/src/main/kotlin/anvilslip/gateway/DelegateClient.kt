package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.launchPeriodically
import anvilslip.policy.DispatchRequest
import anvilslip.policy.LoadRanking
import anvilslip.policy.ServerReport
import anvilslip.state.AdapterName
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage.DelegateLoad
import anvilslip.wire.PeerMessage.DelegateLoadReply
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Asks load delegates for adapters that no known server holds, while this entry instance is cut off from control. Each adapter is asked
 * for once at a time; concurrent requests for it share the lookup.
 */
public class DelegateClient(
    private val host: String,
    private val peers: PeerCaller,
    private val connections: PeerConnections,
    private val clusterView: ClusterView,
    private val reachability: ControlReachability,
    private val delegate: LoadDelegate,
    private val local: LocalDispatch,
    private val countRunning: (server: String) -> Int,
    private val clock: Clock,
    private val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default),
) : Service {
    override val name: String = NAME
    private val log = EventLogger("delegate")
    private val inFlightLookups = ConcurrentHashMap<Pair<String, AdapterName>, Deferred<Boolean>>()
    private val connectionsUsedAt = ConcurrentHashMap<String, Duration>()
    private val silentUntil = ConcurrentHashMap<String, Duration>()
    private val refusedUntil = ConcurrentHashMap<AdapterName, Duration>()

    override suspend fun start() {
        scope.launchPeriodically("delegate-connections", CLEANUP_INTERVAL) { cleanUp() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Records that no leader has answered an admission. */
    public fun onLeaderSilent(): Unit = reachability.onLeaderSilent()

    /** True if asking control instance [host] costs time in vain; see [ControlReachability.isSilent]. */
    public fun isSilent(host: String): Boolean = reachability.isSilent(host)

    /** Has the adapter of [request] loaded and returns true when a holder is known and ready; false if there is none within [timeout]. */
    public suspend fun findHolder(
        request: DispatchRequest,
        timeout: Duration,
    ): Boolean {
        val adapter = AdapterName(request.model ?: return false, request.adapter ?: return false)
        if (!timeout.isPositive()) return false
        val deadline = clock.elapsed() + timeout
        reachability.awaitDecision(timeout)
        if (reachability.cutOffTerm == null || isRefused(adapter)) return false
        val lookup = sharedLookup(request, adapter, deadline)
        return withTimeoutOrNull(deadline - clock.elapsed()) { lookup.await() } ?: false
    }

    private fun isRefused(adapter: AdapterName): Boolean = refusedUntil[adapter]?.let { clock.elapsed() < it } ?: false

    private fun sharedLookup(
        request: DispatchRequest,
        adapter: AdapterName,
        deadline: Duration,
    ): Deferred<Boolean> {
        val key = request.service to adapter
        var created: Deferred<Boolean>? = null
        // The lookup outlives the request that started it, because others may wait for it.
        val lookup = inFlightLookups.computeIfAbsent(key) { scope.async { ask(request, adapter, deadline) }.also { created = it } }
        created?.invokeOnCompletion { inFlightLookups.remove(key, lookup) }
        return lookup
    }

    private suspend fun ask(
        request: DispatchRequest,
        adapter: AdapterName,
        deadline: Duration,
    ): Boolean {
        val engines =
            LoadRanking
                .homeEngines(request.service, adapter.model, adapter.adapter, clusterView.servers().filter(::isUsable))
                .filter { it.id !in request.exclude }
                .sortedBy { countRunning(it.id) }
        val version = clusterView.active.versions[adapter]
        while (true) {
            var retryAfter: Duration? = null
            for (engine in engines) {
                val reply = askDelegates(engine, DelegateLoad(request.service, engine.id, adapter.model, adapter.adapter, version))
                if (reply?.loaded == true) return awaitLoaded(engine, adapter, reply)
                val wait = reply?.readyInMillis?.takeIf { it > 0 }?.milliseconds ?: continue
                retryAfter = minOf(wait, retryAfter ?: wait)
            }
            val now = clock.elapsed()
            if (retryAfter == null) refusedUntil[adapter] = now + REFUSAL_RETENTION
            if (retryAfter == null || now + retryAfter >= deadline) return false
            delay(retryAfter)
        }
    }

    private fun isUsable(server: ServerReport): Boolean = !clusterView.isEvacuated(server) && !clusterView.isCold(server)

    private suspend fun awaitLoaded(
        engine: ServerReport,
        adapter: AdapterName,
        reply: DelegateLoadReply,
    ): Boolean {
        delay(reply.readyInMillis)
        local.recordHolder(engine.id, adapter)
        return true
    }

    /** Asks the delegate of [engine], or the next in the ranking if it does not answer; null if none answers. */
    private suspend fun askDelegates(
        engine: ServerReport,
        load: DelegateLoad,
    ): DelegateLoadReply? {
        for (candidate in LoadRanking.delegates(engine.id, clusterView.entryHosts)) {
            if (candidate == host) return delegate.load(load)
            if (silentUntil[candidate]?.let { clock.elapsed() < it } == true) continue
            callDelegate(candidate, load)?.let { return it }
            silentUntil[candidate] = clock.elapsed() + SILENT_RETENTION
            log.info("delegate_silent", "delegate" to candidate, "server" to engine.id)
        }
        return null
    }

    /** Sends [load] to [candidate], after connecting to it if necessary; null if there is no answer within [ANSWER_TIMEOUT]. */
    private suspend fun callDelegate(
        candidate: String,
        load: DelegateLoad,
    ): DelegateLoadReply? {
        connectionsUsedAt[candidate] = clock.elapsed()
        connections.connect(candidate)
        val deadline = clock.elapsed() + ANSWER_TIMEOUT
        while (true) {
            val remaining = deadline - clock.elapsed()
            if (!remaining.isPositive()) return null
            val result = peers.call(candidate, load, remaining)
            if (result.leftOrNull() !is PeerError.Unreachable) return result.getOrNull() as? DelegateLoadReply
            delay(CONNECT_POLL)
        }
    }

    /** Closes connections that are no longer needed and forgets expired marks. */
    private fun cleanUp() {
        val now = clock.elapsed()
        for ((peer, usedAt) in connectionsUsedAt) {
            if (now - usedAt < CONNECTION_RETENTION || !connectionsUsedAt.remove(peer, usedAt)) continue
            // Connections to control instances belong to the watch.
            if (peer !in clusterView.controlHosts) connections.disconnect(peer)
        }
        silentUntil.values.removeAll { now >= it }
        refusedUntil.values.removeAll { now >= it }
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "delegate-client"

        /** Time for one delegate to answer, including the connection to it. */
        private val ANSWER_TIMEOUT = 250.milliseconds
        private val CONNECT_POLL = 10.milliseconds
        private val CLEANUP_INTERVAL = 1.seconds

        /** Connections stay open over the pauses between loads for one outage. */
        private val CONNECTION_RETENTION = 5.seconds

        /** A delegate that did not answer is skipped for this long, since half a target leaves time for one silent delegate. */
        private val SILENT_RETENTION = 2.seconds

        /** How long an adapter is not asked for after the delegates of its home engines have refused it. */
        private val REFUSAL_RETENTION = 300.milliseconds
    }
}
