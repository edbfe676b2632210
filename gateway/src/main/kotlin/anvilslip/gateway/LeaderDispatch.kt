package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.policy.Admission
import anvilslip.policy.DispatchOptions
import anvilslip.policy.Dispatcher
import anvilslip.policy.LoadOrder
import anvilslip.policy.ModelOrder
import anvilslip.policy.ServeDecision
import anvilslip.policy.ServeDemand
import anvilslip.policy.ServeRefusal
import anvilslip.policy.ServerReport
import anvilslip.state.Replica
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs a [Dispatcher] while this instance leads, and carries out the orders it asks for. */
public class LeaderDispatch(
    private val replica: Replica,
    private val clusterView: ClusterView,
    private val watchResponder: WatchResponder,
    private val engineClient: EngineClient,
    private val options: DispatchOptions,
    private val handover: OrderHandover,
    private val clock: Clock,
) : Service {
    private class Tenure(
        val term: Long,
        val dispatcher: Dispatcher,
        val previous: String?,
        val since: Duration,
    ) {
        var mayOrder = false
        val ordering = ConcurrentHashMap<Pair<String, String>, CompletableDeferred<Unit>>()
        val serverLocks = ConcurrentHashMap<String, Mutex>()
        var fleetRevision = -1L
    }

    override val name: String = NAME
    private val log = EventLogger("dispatch")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val lock = Any()

    @Volatile
    private var tenure: Tenure? = null

    @Volatile
    private var lastLeader: String? = null

    override suspend fun start() {
        scope.launch {
            while (true) {
                tick()
                delay(TICK)
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Decides on [demand], having an adapter loaded if need be. */
    public suspend fun admit(demand: ServeDemand): PeerMessage {
        val askedAt = clock.elapsed()
        var rounds = 0
        while (true) {
            val current = current() ?: return notLeader()
            val waited = clock.elapsed() - askedAt
            when (val admission = decide(current, demand.after(waited))) {
                is Admission.Decided -> {
                    val mayWait = waited < PLACE_WAIT && admission.decision.isLoading()
                    if (!mayWait) return PeerMessage.AdmitReply(current.term, admission.decision)
                    delay(PLACE_POLL)
                }

                is Admission.Load -> {
                    if (++rounds > MAX_LOADS) return refuseLoading(current)
                    load(current, admission.order)
                }

                is Admission.AwaitOrder -> {
                    current.ordering[admission.server to admission.adapter]?.await() ?: delay(ORDER_POLL)
                }
            }
        }
    }

    private fun ServeDemand.after(waited: Duration): ServeDemand {
        val millis = waited.inWholeMilliseconds
        return copy(targetMillis = targetMillis - millis, leftMillis = leftMillis - millis)
    }

    /** True when all places are in use, which may change within moments. */
    private fun ServeDecision.isLoading(): Boolean = this is ServeDecision.Refuse && reason == ServeRefusal.LOADING

    private fun refuseLoading(current: Tenure): PeerMessage {
        val refusal = ServeDecision.Refuse(ServeRefusal.LOADING, options.adapterLoad.inWholeMilliseconds)
        return PeerMessage.AdmitReply(current.term, refusal)
    }

    /** Takes in what became of requests. */
    public fun recordProgress(message: PeerMessage.Progress) {
        val current = current() ?: return
        synchronized(lock) {
            current.dispatcher.adopt(message.entry, message.running, clock.elapsed())
            current.dispatcher.progress(message.entry, message.events, clock.elapsed())
        }
    }

    private fun notLeader() = PeerMessage.NotLeader(replica.view.leader?.instance)

    private fun decide(
        current: Tenure,
        demand: ServeDemand,
    ): Admission =
        synchronized(lock) {
            refresh(current)
            val admission = current.dispatcher.admit(demand, clock.elapsed())
            if (admission is Admission.Load) current.ordering[admission.order.server to admission.order.adapter] = CompletableDeferred()
            admission
        }

    /** The tenure of this leader, begun now if it has just been elected; null when this instance does not lead. */
    private fun current(): Tenure? {
        val view = replica.view
        if (!replica.isLeading) {
            if (tenure != null) log.info("leading_ended", "term" to tenure?.term)
            tenure = null
            return null
        }
        tenure?.takeIf { it.term == view.term }?.let { return it }
        return synchronized(lock) {
            tenure?.takeIf { it.term == view.term } ?: begin(view.term, inherits = view.state.document != null).also { tenure = it }
        }
    }

    private fun begin(
        term: Long,
        inherits: Boolean,
    ): Tenure {
        log.info("leading_began", "term" to term, "inherits" to inherits)
        val now = clock.elapsed()
        return Tenure(term, Dispatcher(options, now, inherits), lastLeader, now).also(::refresh)
    }

    private fun refresh(current: Tenure) {
        val active = clusterView.active
        active.configuration?.let { current.dispatcher.configure(it, active.versions, clock.elapsed()) }
        val revision = clusterView.changeCount
        if (revision == current.fleetRevision) return
        current.fleetRevision = revision
        current.dispatcher.fleet(clusterView.servers(), clock.elapsed())
    }

    private fun tick() {
        val current = current()
        if (current == null) {
            replica.view.leader?.let { lastLeader = it.instance }
            return
        }
        lastLeader = replica.view.id.instance
        val now = clock.elapsed()
        takeOverOrders(current, now)
        val due =
            synchronized(lock) {
                current.fleetRevision = -1
                refresh(current)
                current.dispatcher.expire(now)
                current.dispatcher.limit(watchResponder.reachableShare(), now)
                current.dispatcher.unsurveyed(now)
            }
        for (server in due) scope.launch { survey(current, server) }
        while (true) {
            val order = synchronized(lock) { current.dispatcher.modelOrder(now) } ?: break
            scope.launch { loadModel(current, order) }
        }
    }

    private fun takeOverOrders(
        current: Tenure,
        now: Duration,
    ) {
        if (current.mayOrder || !handover.isComplete(replica.view, current.previous, now - current.since)) return
        current.mayOrder = true
        log.info("orders_taken_over", "term" to current.term, "previous" to current.previous, "after" to (now - current.since))
        synchronized(lock) { current.dispatcher.allowOrders() }
    }

    private suspend fun survey(
        current: Tenure,
        server: ServerReport,
    ) = serverLock(current, server.id).withLock {
        val survey = engineClient.survey(server.id, server.address)
        log.info(
            "server_surveyed",
            "server" to server.id,
            "orders" to survey?.orders,
            "models" to survey?.models?.joinToString("+") { it.name },
        )
        synchronized(lock) { current.dispatcher.surveyed(server.id, survey, clock.elapsed()) }
    }

    private suspend fun loadModel(
        current: Tenure,
        order: ModelOrder,
    ) = serverLock(current, order.server).withLock {
        val given = EngineOrder(order.server, order.address, true, order.model, null, null, order.expectedOrders)
        val reply = give(current, given)
        val taken = reply == OrderReply.TAKEN || reply == OrderReply.HOLDS
        synchronized(lock) { current.dispatcher.modelOrdered(order, taken, clock.elapsed()) }
    }

    private suspend fun load(
        current: Tenure,
        order: LoadOrder,
    ) {
        // The load goes on when the request that asked for it is given up, since its outcome must be known.
        scope
            .launch {
                try {
                    serverLock(current, order.server).withLock { carryOut(current, order) }
                } finally {
                    current.ordering.remove(order.server to order.adapter)?.complete(Unit)
                }
            }.join()
    }

    private suspend fun carryOut(
        current: Tenure,
        order: LoadOrder,
    ) {
        val steps = synchronized(lock) { current.dispatcher.stepsOf(order) } ?: return failed(current, order)
        var taken = steps.ordersTaken
        val evicted = steps.evict
        if (evicted != null) {
            val evict = EngineOrder(order.server, order.address, false, order.model, evicted, null, taken)
            if (give(current, evict) != OrderReply.HOLDS) return failed(current, order)
            taken++
            synchronized(lock) { current.dispatcher.evicted(order, evicted, taken) }
        }
        val load = EngineOrder(order.server, order.address, true, order.model, order.adapter, order.version, taken)
        val reply = give(current, load)
        if (reply != OrderReply.TAKEN && reply != OrderReply.HOLDS) return failed(current, order)
        synchronized(lock) { current.dispatcher.loadStarted(order, taken + 1, clock.elapsed()) }
    }

    private fun failed(
        current: Tenure,
        order: LoadOrder,
    ) = synchronized(lock) { current.dispatcher.loadFailed(order, clock.elapsed()) }

    private suspend fun give(
        current: Tenure,
        order: EngineOrder,
    ): OrderReply {
        if (tenure !== current || !replica.isLeading) return OrderReply.REFUSED
        val reply = engineClient.sendOrder(order, current.term)
        log.info(
            if (order.isLoad) "load_ordered" else "unload_ordered",
            "server" to order.server,
            "model" to order.model,
            "adapter" to order.adapter,
            "version" to order.version,
            "expected_orders" to order.expectedOrders,
            "fencing" to current.term,
            "reply" to reply,
        )
        return reply
    }

    private fun serverLock(
        current: Tenure,
        server: String,
    ): Mutex = current.serverLocks.computeIfAbsent(server) { Mutex() }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "dispatch"
        private val TICK = 100.milliseconds
        private val ORDER_POLL = 5.milliseconds
        private const val MAX_LOADS = 3

        /** How long a request waits here for a place to become free; the entry instance waits somewhat longer for the answer. */
        private val PLACE_WAIT = 100.milliseconds
        private val PLACE_POLL = 25.milliseconds
    }
}
