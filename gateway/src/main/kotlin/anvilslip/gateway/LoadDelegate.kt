package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.policy.DelegateFencing
import anvilslip.policy.DispatchOptions
import anvilslip.policy.EngineInventory
import anvilslip.policy.EngineProfile
import anvilslip.policy.FencingToken
import anvilslip.policy.LoadRanking
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.state.AdapterName
import anvilslip.wire.PeerMessage.DelegateLoad
import anvilslip.wire.PeerMessage.DelegateLoadReply
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Orders adapter loads on engines while this entry instance is cut off from a majority of the control instances. Serves the engines for
 * which it is one of the delegates. The state of an engine is read immediately before each order, and the order is bound to it by the
 * number of orders that the engine has accepted. At most one load is in transit at a time, so that the loads of all delegates together
 * stay near what the weight store carries.
 */
public class LoadDelegate(
    private val host: String,
    private val clusterView: ClusterView,
    private val reachability: ControlReachability,
    private val engineClient: EngineClient,
    private val options: DispatchOptions,
    private val clock: Clock,
    private val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default),
) : Service {
    /** An engine for which this instance may order a load now. */
    private class Target(
        val report: ServerReport,
        val engine: EngineProfile,
        val term: Long,
        /** Null for the newest version. */
        val version: Long?,
    )

    override val name: String = NAME
    private val log = EventLogger("delegate")
    private val fencing = FencingToken.holderBits(host)?.let(::DelegateFencing)

    /** Held while an order is sent and until the load that it started has ended. */
    private val transit = Mutex()

    @Volatile
    private var transitEndsAt = Duration.ZERO

    /** Server and adapter of the load in transit. */
    @Volatile
    private var loadInTransit: Pair<String, String>? = null

    /** Duration of the last load. */
    @Volatile
    private var loadTime = options.adapterLoad

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Loads the adapter that [ask] names, or answers why it cannot be used; see [DelegateLoadReply]. */
    public suspend fun load(ask: DelegateLoad): DelegateLoadReply {
        // Runs in the scope of the service, since an order that was sent must be followed even if the caller gives up.
        val work = scope.async { orNullOnFailure(log, ask.server) { answer(ask) } ?: UNAVAILABLE }
        return withTimeoutOrNull(ANSWER_TIMEOUT) { work.await() } ?: DelegateLoadReply(false, ANSWER_TIMEOUT.inWholeMilliseconds)
    }

    private suspend fun answer(ask: DelegateLoad): DelegateLoadReply {
        reachability.onLeaderSilent()
        reachability.awaitDecision(DECISION_TIMEOUT)
        val target = target(ask) ?: return if (reachability.isDeciding) UNDECIDED else UNAVAILABLE
        val inventory = queryInventory(target) ?: return UNAVAILABLE
        replyFromInventory(inventory, target, ask)?.let { return it }
        if (!transit.tryLock()) return DelegateLoadReply(false, remainingTransit())
        var isLoading = false
        try {
            val reply = orderLoad(ask)
            isLoading = reply.loaded && reply.readyInMillis > 0
            if (isLoading) followLoad(target.report, ask)
            return reply
        } finally {
            if (!isLoading) transit.unlock()
        }
    }

    /** Orders the load; reads the state of the engine before each attempt, since it may have changed or carried out the last order. */
    private suspend fun orderLoad(ask: DelegateLoad): DelegateLoadReply {
        repeat(MAX_ATTEMPTS) {
            val target = target(ask) ?: return UNAVAILABLE
            val inventory = queryInventory(target) ?: return UNAVAILABLE
            replyFromInventory(inventory, target, ask)?.let { return it }
            when (sendOrder(ask, inventory.orders)) {
                OrderReply.TAKEN -> return loading()
                OrderReply.HOLDS -> return LOADED
                OrderReply.REFUSED -> return UNAVAILABLE
                OrderReply.CONFLICT, OrderReply.FENCED, OrderReply.UNANSWERED -> Unit
            }
        }
        return UNAVAILABLE
    }

    /** Returns the engine that [ask] names if this instance may order the load at present; null otherwise. */
    private fun target(ask: DelegateLoad): Target? {
        val term = reachability.cutOffTerm ?: return null
        if (host !in LoadRanking.delegates(ask.server, clusterView.entryHosts)) return null
        val report = clusterView.servers().firstOrNull { it.id == ask.server && it.service == ask.service } ?: return null
        if (report.phase != ServerPhase.READY || clusterView.isEvacuated(report)) return null
        if (clusterView.isCold(report) || clusterView.isLimited(report)) return null
        val active = clusterView.active
        val engine =
            active.configuration
                ?.services
                ?.get(ask.service)
                ?.engine ?: return null
        val named = active.versions[AdapterName(ask.model, ask.adapter)]
        return Target(report, engine, term, listOfNotNull(named, ask.version).maxOrNull())
    }

    private suspend fun queryInventory(target: Target): EngineInventory? =
        engineClient.queryInventory(target.report.id, target.report.address)

    /** The answer that follows from the state of the engine alone; null if a load is to be ordered. */
    private fun replyFromInventory(
        inventory: EngineInventory,
        target: Target,
        ask: DelegateLoad,
    ): DelegateLoadReply? {
        val model = inventory.models.firstOrNull { it.name == ask.model } ?: return UNAVAILABLE
        val held = model.adapters[ask.adapter]
        // Replacing an older version could interrupt requests that use it, of which this instance may not know.
        if (held != null) return if (target.version == null || held >= target.version) LOADED else UNAVAILABLE
        if (ask.adapter in inventory.pending[ask.model].orEmpty()) {
            val isOwn = loadInTransit == ask.server to ask.adapter
            return if (isOwn) DelegateLoadReply(true, remainingTransit() + options.loadMargin.inWholeMilliseconds) else loading()
        }
        val occupied = inventory.models.sumOf { it.adapters.size } + inventory.pending.values.sumOf { it.size }
        return if (occupied < target.engine.adapterCapacity(inventory.models.mapTo(HashSet()) { it.name })) null else UNAVAILABLE
    }

    private suspend fun sendOrder(
        ask: DelegateLoad,
        expectedOrders: Long,
    ): OrderReply {
        // The query of the inventory takes a round trip, in which a majority may have answered or a later term may have become known.
        val target = target(ask) ?: return OrderReply.REFUSED
        val token = fencing?.tokenFor(ask.server, target.term) ?: return OrderReply.REFUSED
        val order = EngineOrder(ask.server, target.report.address, true, ask.model, ask.adapter, target.version, expectedOrders)
        val reply = orNullOnFailure(log, ask.server) { engineClient.sendOrder(order, token.value) } ?: OrderReply.UNANSWERED
        if (reply == OrderReply.FENCED) fencing.recordRefused(ask.server, target.term, token)
        log.info(
            "delegate_load_ordered",
            "server" to ask.server,
            "model" to ask.model,
            "adapter" to ask.adapter,
            "version" to target.version,
            "expected_orders" to expectedOrders,
            "fencing" to token.value,
            "reply" to reply,
        )
        return reply
    }

    /** Observes the load until the engine no longer reports it as pending, then allows the next one. */
    private fun followLoad(
        engine: ServerReport,
        ask: DelegateLoad,
    ) {
        val startedAt = clock.elapsed()
        transitEndsAt = startedAt + loadTime
        loadInTransit = ask.server to ask.adapter
        scope.launch {
            try {
                delay(loadTime / 2)
                while (clock.elapsed() - startedAt < MAX_LOAD_TIME) {
                    val inventory = orNullOnFailure(log, engine.id) { engineClient.queryInventory(engine.id, engine.address) }
                    if (inventory != null && ask.adapter !in inventory.pending[ask.model].orEmpty()) {
                        recordLoadTime(inventory, ask, clock.elapsed() - startedAt)
                        break
                    }
                    delay(LOAD_POLL)
                }
            } finally {
                loadInTransit = null
                transit.unlock()
            }
        }
    }

    private fun recordLoadTime(
        inventory: EngineInventory,
        ask: DelegateLoad,
        time: Duration,
    ) {
        val isHeld = inventory.models.any { it.name == ask.model && ask.adapter in it.adapters }
        if (isHeld) loadTime = time.coerceIn(MIN_LOAD_TIME, MAX_LOAD_TIME)
    }

    private fun loading() = DelegateLoadReply(true, (loadTime + options.loadMargin).inWholeMilliseconds)

    private fun remainingTransit(): Long = (transitEndsAt - clock.elapsed()).coerceAtLeast(LOAD_POLL).inWholeMilliseconds

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "load-delegate"
        private val LOADED = DelegateLoadReply(true)

        /** The load is not possible: no free place, not the delegate, not cut off, or the engine does not answer. */
        private val UNAVAILABLE = DelegateLoadReply(false)

        /** It is not known yet whether this instance is cut off. The next round of pings starts within this time. */
        private val UNDECIDED = DelegateLoadReply(false, ControlReachability.ROUND_INTERVAL.inWholeMilliseconds)

        /** Control instances that can be reached answer pings within this time. */
        private val DECISION_TIMEOUT = 50.milliseconds

        /** Shorter than the time for which other instances wait for the answer. */
        private val ANSWER_TIMEOUT = 200.milliseconds
        private const val MAX_ATTEMPTS = 3
        private val LOAD_POLL = 40.milliseconds
        private val MIN_LOAD_TIME = 25.milliseconds

        /** A load that takes longer no longer prevents others. */
        private val MAX_LOAD_TIME = 3.seconds
    }
}
