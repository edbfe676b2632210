package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.launchPeriodically
import anvilslip.kernel.launchSupervised
import anvilslip.policy.Admission
import anvilslip.policy.AdmissionControl
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.Dispatcher
import anvilslip.policy.LeaderFencing
import anvilslip.policy.LoadOrder
import anvilslip.policy.ModelOrder
import anvilslip.policy.RequestKey
import anvilslip.policy.RequestStep
import anvilslip.policy.ServerReport
import anvilslip.state.ReplicaView
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs a [Dispatcher] while this instance is the leader, and sends the orders that it issues to the engines. */
@OptIn(ExperimentalCoroutinesApi::class)
public class LeaderDispatch(
    private val replicaView: () -> ReplicaView,
    private val clusterView: ClusterView,
    private val watchResponder: WatchResponder,
    private val engineClient: EngineClient,
    private val options: DispatchOptions,
    private val handover: OrderHandover,
    private val clock: Clock,
    metrics: AdmissionMetrics? = null,
) : Service {
    private class LeaderTerm(
        val number: Long,
        val dispatcher: Dispatcher,
        val previousLeader: String?,
        val electedAt: Duration,
    ) {
        val admissions = AdmissionControl(dispatcher)

        /** Admissions that have not been decided, because their requests wait; guarded by the lock. */
        val pendingAdmissions = HashMap<RequestKey, CompletableDeferred<Admission>>()
        var canSendOrders = false
        val fencing = LeaderFencing(number)
        val pendingOrders = ConcurrentHashMap<Pair<String, String>, CompletableDeferred<Unit>>()
        val serverLocks = ConcurrentHashMap<String, Mutex>()

        /** Engines whose inventory is being queried. */
        val queriedEngines: MutableSet<String> = ConcurrentHashMap.newKeySet()
        var fleetRevision = -1L
        var beliefsLoggedAt = electedAt
    }

    override val name: String = NAME
    private val log = EventLogger("dispatch")
    private val admissionLog = AdmissionLog(metrics, clock)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Bound the queries of engines, and the tries of orders, that are in progress. */
    private val queryPermits = Semaphore(CONCURRENT_QUERIES)
    private val orderPermits = Semaphore(CONCURRENT_ORDERS)
    private val lock = Any()
    private val termState = TermState<LeaderTerm>()
    private val wasLeading = AtomicBoolean()

    /** Signals that a waiting request may be able to start. */
    private val changes = Channel<Unit>(Channel.CONFLATED)

    /** State of the last term in which this instance has led. */
    @Volatile
    private var lastTerm: LeaderTerm? = null

    @Volatile
    private var lastLeader: String? = null

    /** Number of requests that this instance, as the leader of the current term, believes to be running. */
    internal val runningRequests: Int
        get() = termState.find(replicaView().term)?.let { synchronized(lock) { it.dispatcher.runningRequests } } ?: 0

    /** Time at which this instance was elected in the current term; null if it does not lead or has only just been elected. */
    internal val electedAt: Duration? get() = termState.find(replicaView().term)?.electedAt

    override suspend fun start() {
        scope.launchPeriodically("dispatch", TICK_INTERVAL) { tick() }
        scope.launchSupervised("admission queue") { recordProgress ->
            while (true) {
                awaitQueueWakeUp()
                processQueue()
                recordProgress()
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Decides on [request], after it has waited until it can start and its adapter is loaded if necessary. */
    public suspend fun admit(request: DispatchRequest): PeerMessage {
        val receivedAt = clock.elapsed()
        var loadCount = 0
        var isReserved = false
        while (true) {
            val term = currentTerm() ?: return notLeader()
            if (!isLimitReportComplete(request, term)) return waitReply(term)
            when (val admission = decide(term, request, receivedAt, isReserved) ?: return notLeader()) {
                is Admission.Decided -> {
                    admissionLog.record(request, admission.decision, clock.elapsed() - receivedAt)
                    return PeerMessage.AdmitReply(term.number, admission.decision)
                }

                is Admission.Load -> {
                    // The adapter slot is reserved already, so the order must be carried out even if nobody waits for it.
                    val load = startLoad(term, admission.order)
                    if (++loadCount > MAX_LOADS) return refuseLoading(term)
                    if (!finishes(receivedAt) { load.join() }) return waitReply(term)
                }

                is Admission.AwaitOrder -> {
                    val order = term.pendingOrders[admission.server to admission.adapter]
                    if (!finishes(receivedAt) { order?.await() ?: delay(ORDER_POLL) }) return waitReply(term)
                }
            }
            isReserved = true
        }
    }

    /**
     * True if the leader of [term] knows all limits of servers that the entry instance of [request] knows. Otherwise that instance has
     * told the previous leader, and asks again with all of them.
     */
    private fun isLimitReportComplete(
        request: DispatchRequest,
        term: LeaderTerm,
    ): Boolean = request.limits?.term.let { it == null || it == term.number }

    /** Waits until there may be something to do for the queue: an event, or the time that the queue has named. */
    private suspend fun awaitQueueWakeUp() {
        while (true) {
            val nextAt = synchronized(lock) { lastTerm?.admissions?.nextWakeAt }
            val remaining = if (nextAt == null) Duration.INFINITE else nextAt - clock.elapsed()
            if (!remaining.isPositive()) return
            withTimeoutOrNull(remaining) { changes.receive() }
        }
    }

    /** Decides on waiting requests that can start now, and answers those that have waited as long as their entry instances may. */
    private fun processQueue() {
        val term = currentTerm()
        if (term == null) {
            lastTerm?.let(::cancelPendingAdmissions)
            admissionLog.recordWaiting(emptyMap())
            return
        }
        val sizes =
            synchronized(lock) {
                refreshDispatcher(term)
                for (answer in term.admissions.wake(clock.elapsed())) {
                    registerOrder(term, answer.admission)
                    term.pendingAdmissions.remove(answer.key)?.complete(answer.admission)
                }
                term.admissions.waitingByPriority
            }
        admissionLog.recordWaiting(sizes)
    }

    /** Cancels the pending admissions of [term], which is over or whose lease has lapsed; their entry instances ask again. */
    private fun cancelPendingAdmissions(term: LeaderTerm) =
        synchronized(lock) {
            term.admissions.clear()
            for (pending in term.pendingAdmissions.values) pending.cancel()
            term.pendingAdmissions.clear()
        }

    private fun signalChange(term: LeaderTerm) {
        if (synchronized(lock) { term.admissions.recordChange() }) changes.trySend(Unit)
    }

    /** Waits for [action]; returns false once the entry instance that asked at [receivedAt] needs an answer. */
    private suspend fun finishes(
        receivedAt: Duration,
        action: suspend () -> Unit,
    ): Boolean = withTimeoutOrNull(ORDER_WAIT_TIMEOUT - (clock.elapsed() - receivedAt)) { action() } != null

    /** Makes the entry instance ask again. Without an answer, it would take a leader that waits for an engine for one that is lost. */
    private fun waitReply(term: LeaderTerm) = PeerMessage.AdmitReply(term.number, DispatchDecision.Wait)

    private fun refuseLoading(term: LeaderTerm): PeerMessage {
        val refusal = DispatchDecision.Refuse(DispatchRefusal.LOADING, options.adapterLoad.inWholeMilliseconds)
        return PeerMessage.AdmitReply(term.number, refusal)
    }

    /** Records the progress of requests that an entry instance reports, also while the lease of the current term has lapsed. */
    public fun recordProgress(message: PeerMessage.Progress) {
        val term = currentTerm() ?: termState.find(replicaView().term) ?: return
        synchronized(lock) {
            term.dispatcher.restoreRequests(message.entry, message.running, clock.elapsed())
            term.dispatcher.applyEvents(message.entry, message.events, clock.elapsed())
            for (event in message.events) {
                if (event.step == RequestStep.ENDED) withdrawWaiting(term, RequestKey(message.entry, event.number))
            }
        }
        if (message.events.isNotEmpty()) signalChange(term)
    }

    private fun withdrawWaiting(
        term: LeaderTerm,
        key: RequestKey,
    ) {
        term.admissions.withdraw(key)
        term.pendingAdmissions.remove(key)?.cancel()
    }

    private fun notLeader() = PeerMessage.NotLeader(replicaView().leader?.instance)

    /** Returns the decision on [request] once it is made, or null if this instance stops leading before. */
    private suspend fun decide(
        term: LeaderTerm,
        request: DispatchRequest,
        receivedAt: Duration,
        isReserved: Boolean,
    ): Admission? {
        val key = RequestKey(request.entry, request.number)
        val pending = CompletableDeferred<Admission>()
        synchronized(lock) {
            refreshDispatcher(term)
            request.limits?.let { term.dispatcher.recordLimits(it.statements, term.number) }
            val admission = term.admissions.ask(request, receivedAt, clock.elapsed(), isReserved)
            if (admission != null) return admission.also { registerOrder(term, it) }
            term.pendingAdmissions.put(key, pending)?.complete(Admission.Decided(DispatchDecision.Wait))
        }
        changes.trySend(Unit)
        try {
            withTimeoutOrNull(QUEUE_WAIT_TIMEOUT) { pending.join() }
        } catch (e: CancellationException) {
            if (!withdrawIfPending(term, key, pending)) (pending.getCompleted() as? Admission.Load)?.let { startLoad(term, it.order) }
            throw e
        }
        return if (withdrawIfPending(term, key, pending)) null else pending.await()
    }

    /** Removes the request [key] from the queue if its admission is still [pending]. Returns false if it is decided. */
    private fun withdrawIfPending(
        term: LeaderTerm,
        key: RequestKey,
        pending: CompletableDeferred<Admission>,
    ): Boolean =
        synchronized(lock) {
            val isPending = term.pendingAdmissions.remove(key, pending)
            if (isPending) term.admissions.withdraw(key)
            isPending || pending.isCancelled
        }

    private fun registerOrder(
        term: LeaderTerm,
        admission: Admission,
    ) {
        if (admission is Admission.Load) term.pendingOrders[admission.order.server to admission.order.adapter] = CompletableDeferred()
    }

    /** Returns the state of the current term, created now if this instance has just been elected; null if it does not lead. */
    private fun currentTerm(): LeaderTerm? {
        val view = replicaView()
        val isLeading = view.isLeading(clock.elapsed())
        if (wasLeading.getAndSet(isLeading) != isLeading) {
            log.info(if (isLeading) "leading_began" else "leading_ended", "term" to view.term)
        }
        return if (isLeading) termState.of(view.term) { startTerm(view.term, hasPredecessor = view.state.document != null) } else null
    }

    private fun startTerm(
        number: Long,
        hasPredecessor: Boolean,
    ): LeaderTerm {
        log.info("term_began", "term" to number, "has_predecessor" to hasPredecessor)
        val now = clock.elapsed()
        lastTerm?.let(::cancelPendingAdmissions)
        val dispatcher = Dispatcher(options, now, hasPredecessor, clusterView.coldServers)
        val term = LeaderTerm(number, dispatcher, lastLeader, now)
        refreshDispatcher(term)
        lastTerm = term
        return term
    }

    private fun refreshDispatcher(term: LeaderTerm) {
        val active = clusterView.active
        active.configuration?.let { term.dispatcher.configure(it, active.versions, clock.elapsed()) }
        term.dispatcher.setEvacuatedZones(clusterView.evacuations.zones)
        val revision = clusterView.changeCount
        if (revision == term.fleetRevision) return
        term.fleetRevision = revision
        term.dispatcher.updateServers(clusterView.servers(), clock.elapsed())
    }

    private fun tick() {
        val term = currentTerm()
        if (term == null) {
            replicaView().leader?.let { lastLeader = it.instance }
            return
        }
        lastLeader = replicaView().id.instance
        val now = clock.elapsed()
        takeOverOrders(term, now)
        val due =
            synchronized(lock) {
                term.fleetRevision = -1
                refreshDispatcher(term)
                term.dispatcher.expire(now)
                term.dispatcher.setLimitShare(watchResponder.reachableShare(), now)
                term.dispatcher.enginesToQuery(now)
            }
        logBeliefs(term, now)
        signalChange(term)
        for (server in due) if (term.queriedEngines.add(server.id)) scope.launch { queryInventory(term, server) }
        while (true) {
            val order = synchronized(lock) { term.dispatcher.nextModelOrder(now) } ?: break
            scope.launch { loadModel(term, order) }
        }
    }

    /** Logs what this leader believes to be running and what it has granted of each limit. */
    private fun logBeliefs(
        term: LeaderTerm,
        now: Duration,
    ) {
        if (now - term.beliefsLoggedAt < BELIEF_LOG_INTERVAL) return
        term.beliefsLoggedAt = now
        log.info("requests_believed_running", "count" to runningRequests, "term" to term.number)
        logLoadCapacity(term, now)
        val entries = watchResponder.entryCounts()
        for (usage in synchronized(lock) { term.dispatcher.takeLimitUsage() }) {
            log.info(
                "limit_granted",
                "workspace" to usage.workspace,
                "term" to term.number,
                "charged" to usage.charged,
                "refunded" to usage.refunded,
                "level" to usage.level.toLong(),
                "rate" to usage.rate.toLong(),
                "entries" to entries,
            )
        }
    }

    /** Logs what would keep a request from having its adapter loaded. */
    private fun logLoadCapacity(
        term: LeaderTerm,
        now: Duration,
    ) {
        val capacity = synchronized(lock) { term.dispatcher.loadCapacity(now) }
        log.info(
            "load_capacity",
            "in_transit" to capacity.inTransit,
            "reserved" to capacity.reserved,
            "limit" to capacity.limit,
            "engines" to capacity.engines,
            "orderable" to capacity.orderable,
            "with_slot" to capacity.withSlot,
            "term" to term.number,
        )
    }

    private fun takeOverOrders(
        term: LeaderTerm,
        now: Duration,
    ) {
        if (term.canSendOrders || !handover.isComplete(replicaView(), term.previousLeader, now - term.electedAt)) return
        term.canSendOrders = true
        log.info("orders_taken_over", "term" to term.number, "previous" to term.previousLeader, "after" to (now - term.electedAt))
        synchronized(lock) { term.dispatcher.allowOrders() }
    }

    private suspend fun queryInventory(
        term: LeaderTerm,
        server: ServerReport,
    ) = try {
        serverLock(term, server.id).withLock { recordInventory(term, server) }
    } finally {
        term.queriedEngines -= server.id
    }

    private suspend fun recordInventory(
        term: LeaderTerm,
        server: ServerReport,
    ) {
        val startedAt = clock.elapsed()
        val inventory =
            queryPermits.withPermit { orNullOnFailure(log, server.id) { engineClient.queryInventory(server.id, server.address) } }
        log.info(
            "server_surveyed",
            "server" to server.id,
            "orders" to inventory?.orders,
            "models" to inventory?.models?.joinToString("+") { it.name },
            "took_ms" to (clock.elapsed() - startedAt).inWholeMilliseconds,
        )
        synchronized(lock) { term.dispatcher.recordInventory(server.id, inventory, clock.elapsed()) }
    }

    private suspend fun loadModel(
        term: LeaderTerm,
        order: ModelOrder,
    ) = serverLock(term, order.server).withLock {
        val engineOrder = EngineOrder(order.server, order.address, true, order.model, null, null, order.expectedOrders)
        val reply = sendOrder(term, engineOrder)
        val accepted = reply == OrderReply.TAKEN || reply == OrderReply.HOLDS
        synchronized(lock) { term.dispatcher.recordModelOrder(order, accepted, clock.elapsed()) }
    }

    /** Starts [order] in the scope of the service, since its outcome must be recorded even if the request that needs it is cancelled. */
    private fun startLoad(
        term: LeaderTerm,
        order: LoadOrder,
    ): Job =
        scope.launch {
            try {
                serverLock(term, order.server).withLock { executeLoad(term, order) }
            } finally {
                term.pendingOrders.remove(order.server to order.adapter)?.complete(Unit)
                signalChange(term)
            }
        }

    private suspend fun executeLoad(
        term: LeaderTerm,
        order: LoadOrder,
    ) {
        val steps = synchronized(lock) { term.dispatcher.loadSteps(order) } ?: return recordLoadFailure(term, order)
        var acceptedOrders = steps.ordersTaken
        val evicted = steps.evict
        if (evicted != null) {
            val evict = EngineOrder(order.server, order.address, false, order.model, evicted, null, acceptedOrders)
            if (sendOrder(term, evict) != OrderReply.HOLDS) return recordLoadFailure(term, order)
            acceptedOrders++
            synchronized(lock) { term.dispatcher.recordEviction(order, evicted, acceptedOrders) }
        }
        val load = EngineOrder(order.server, order.address, true, order.model, order.adapter, order.version, acceptedOrders)
        val reply = sendOrder(term, load)
        if (reply != OrderReply.TAKEN && reply != OrderReply.HOLDS) return recordLoadFailure(term, order)
        synchronized(lock) { term.dispatcher.recordLoadStarted(order, acceptedOrders + 1, clock.elapsed()) }
    }

    private fun recordLoadFailure(
        term: LeaderTerm,
        order: LoadOrder,
    ) = synchronized(lock) { term.dispatcher.recordLoadFailed(order, clock.elapsed()) }

    private suspend fun sendOrder(
        term: LeaderTerm,
        order: EngineOrder,
    ): OrderReply {
        val token = term.fencing.tokenFor(order.server) ?: return OrderReply.REFUSED
        val startedAt = clock.elapsed()
        val orders = RetryingEngineClient(PermittedOrders(term))
        // The engine may have received an order whose exchange failed.
        val reply = orNullOnFailure(log, order.server) { orders.sendOrder(order, token.value) } ?: OrderReply.UNANSWERED
        if (reply == OrderReply.FENCED) term.fencing.recordRefused(order.server, token)
        log.info(
            if (order.isLoad) "load_ordered" else "unload_ordered",
            "server" to order.server,
            "model" to order.model,
            "adapter" to order.adapter,
            "version" to order.version,
            "expected_orders" to order.expectedOrders,
            "fencing" to token.value,
            "reply" to reply,
            "took_ms" to (clock.elapsed() - startedAt).inWholeMilliseconds,
        )
        return reply
    }

    /** Sends each try of an order when its turn comes, unless the leader of [term] may no longer send it by then. */
    private inner class PermittedOrders(
        private val term: LeaderTerm,
    ) : EngineClient by engineClient {
        override suspend fun sendOrder(
            order: EngineOrder,
            fencingToken: Long,
        ): OrderReply = orderPermits.withPermit { if (maySend(order)) engineClient.sendOrder(order, fencingToken) else OrderReply.REFUSED }

        private fun maySend(order: EngineOrder): Boolean {
            val view = replicaView()
            return view.term == term.number && view.isLeading(clock.elapsed()) && !clusterView.isEvacuated(order.server)
        }
    }

    private fun serverLock(
        term: LeaderTerm,
        server: String,
    ): Mutex = term.serverLocks.computeIfAbsent(server) { Mutex() }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "dispatch"
        private val TICK_INTERVAL = 100.milliseconds
        private val BELIEF_LOG_INTERVAL = 500.milliseconds
        private val ORDER_POLL = 5.milliseconds
        private const val MAX_LOADS = 3

        /**
         * More exchanges at once would not end sooner, since they share the processor of this instance, but each would take longer than the
         * client waits for an engine.
         */
        private const val CONCURRENT_QUERIES = 16
        private const val CONCURRENT_ORDERS = 16

        /** Bounds the wait for the queue in case its passes fail; shorter than the time that entry instances wait for the answer. */
        private val QUEUE_WAIT_TIMEOUT = 400.milliseconds

        /**
         * Bounds the wait of a request for orders. Entry instances wait 450 ms for the answer, of which the messages take a large part while
         * this instance is short of processor time.
         */
        private val ORDER_WAIT_TIMEOUT = 250.milliseconds
    }
}
