package anvilslip.policy

import anvilslip.policy.AdapterSlot.State
import anvilslip.state.AdapterName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Selects the server for each request of all entry instances, refuses requests that cannot be served in time, and decides which
 * adapters and base models to load. Runs on the leader. Deterministic: uses no threads, clocks or connections of its own.
 *
 * Engines spend most of their time on prefill, so the load of an engine is estimated by the prompt tokens that were sent to it
 * and not processed yet. A request is sent to the server that is expected to answer first. A request that cannot be answered
 * within its target is refused immediately, because running it would only delay other requests.
 *
 * @param coldServers which servers are cold; shared with the view of this instance, so that a new leader knows what it learnt before
 * @param hasPredecessor true if another leader preceded this one: its orders may still be in flight and its limits partly used
 */
public class Dispatcher(
    private val options: DispatchOptions,
    now: Duration,
    hasPredecessor: Boolean,
    private val coldServers: ColdServers = ColdServers(),
) {
    private val fleet = DispatchFleet(options, coldServers, ColdStartLimiter(now, hasPredecessor), ReportedLimits(now, hasPredecessor))
    private val limits = WorkspaceLimits(hasPredecessor)
    private val tracker = RequestTracker(fleet, limits, options)
    private val planner = LoadPlanner(fleet, options, mayOrder = !hasPredecessor, now = now)

    private var weights: Map<String, Double> = emptyMap()
    private var meanWeight = 1.0

    /** Number of requests sent to servers that have not ended. */
    public val runningRequests: Int get() = tracker.size

    /** Applies the current configuration and the current adapter versions. */
    public fun configure(
        next: ServingConfiguration,
        versions: Map<AdapterName, Long>,
        now: Duration,
    ) {
        fleet.versions = versions
        if (next.version == fleet.configuration.version) return
        fleet.configuration = next
        weights =
            next.workspaces.filter { it.ratePerSecond > 0 }.associate {
                it.name to
                    it.ratePerSecond * it.charge(DispatchFleet.MEAN_TOKENS) / DispatchFleet.MEAN_TOKENS
            }
        meanWeight = weights.values.average().takeIf { weights.isNotEmpty() } ?: 1.0
        limits.configure(next.workspaces, now)
    }

    /** Grants only [share] of each workspace limit; unreachable entry instances use the remainder on their own. */
    public fun setLimitShare(
        share: Double,
        now: Duration,
    ): Unit = limits.setShare(share, now)

    /** Returns the usage of the workspace limits since the last call, for the log. */
    public fun takeLimitUsage(): List<LimitUsage> = limits.takeUsage()

    /** Allows this leader to send orders. To be called once no order of the previous leader can be in flight. */
    public fun allowOrders(): Unit = planner.allowOrders()

    /** Replaces the set of live servers by those in [reports]. */
    public fun updateServers(
        reports: List<ServerReport>,
        now: Duration,
    ): Unit = fleet.updateServers(reports, now)

    /** Sends nothing new to servers in the availability zones [zones]; requests that run there are not affected. */
    public fun setEvacuatedZones(zones: Set<String>) {
        fleet.evacuatedZones = zones
    }

    /** Engines whose inventory must be queried before orders can be sent to them. */
    public fun enginesToQuery(now: Duration): List<ServerReport> = planner.enginesToQuery(now)

    /** Records the inventory that server [id] returned, or null if it did not answer. */
    public fun recordInventory(
        id: String,
        survey: EngineInventory?,
        now: Duration,
    ): Unit = planner.recordInventory(id, survey, now)

    /** The orders to send now to carry out [order], or null if it is no longer possible. */
    public fun loadSteps(order: LoadOrder): LoadSteps? = planner.loadSteps(order)

    /** Records that the server of [order] has evicted [adapter]; [orders] is the number of orders that it has accepted so far. */
    public fun recordEviction(
        order: LoadOrder,
        adapter: String,
        orders: Long,
    ): Unit = planner.recordEviction(order, adapter, orders)

    /** Records that the server accepted [order]; [orders] is the number of orders that it has accepted, including this one. */
    public fun recordLoadStarted(
        order: LoadOrder,
        orders: Long,
        now: Duration,
    ): Unit = planner.recordStarted(order, orders, now)

    /** Records that [order] was refused or not answered. The inventory of the server must be queried before the next order. */
    public fun recordLoadFailed(
        order: LoadOrder,
        now: Duration,
    ): Unit = planner.recordFailed(order, now)

    /** The room for further adapter loads, for the log. */
    public fun loadCapacity(now: Duration): LoadCapacity = planner.capacity(now)

    /** The next order to load a base model on an engine without one, or null if none is due. */
    public fun nextModelOrder(now: Duration): ModelOrder? = planner.nextModelOrder(now)

    /** Records the outcome of [order]; [accepted] tells whether the server accepted it. */
    public fun recordModelOrder(
        order: ModelOrder,
        accepted: Boolean,
        now: Duration,
    ): Unit = planner.recordModelOrder(order, accepted, now)

    /** Applies the limits that servers have named in their answers, as an entry instance reports them to the leader of [term]. */
    public fun recordLimits(
        statements: List<LimitStatement>,
        term: Long,
    ) {
        for (statement in statements) fleet.reportedLimits.record(statement, statement.grant?.takeIf { it.term == term }?.sequence ?: 0)
    }

    /** Applies [events] of requests that [entry] has sent. */
    public fun applyEvents(
        entry: String,
        events: List<RequestEvent>,
        now: Duration,
    ): Unit = events.forEach { tracker.applyEvent(entry, it, now) }

    /** Restores the requests that [entry] reports as running, after a change of leader. */
    public fun restoreRequests(
        entry: String,
        running: List<RunningRequest>,
        now: Duration,
    ): Unit = tracker.restoreRequests(entry, running, now)

    /** Removes requests whose deadline has passed and whose end was not reported. */
    public fun expire(now: Duration): Unit = tracker.expire(now)

    /**
     * Expected time until [server] begins to answer the last request that was sent to it, which has [promptTokens] and is held back for
     * [hold]; null if the server is not known.
     */
    public fun expectedAnswer(
        server: String,
        promptTokens: Int,
        hold: Duration,
        now: Duration,
    ): Duration? {
        val known = fleet[server] ?: return null
        val promptTime = known.promptTime(promptTokens)
        return maxOf(hold, known.expectedWait(now) - promptTime) + promptTime
    }

    /** True if requests for [service] wait in an [AdmissionQueue] until their deadline. */
    internal fun isQueued(service: String): Boolean = fleet.isQueued(service)

    /** Time that an engine takes to process the prompt of [request]. */
    internal fun prefillTime(request: DispatchRequest): Duration = fleet.prefillTime(request)

    /** Output tokens that [request] is expected to produce. */
    internal fun expectedOutput(request: DispatchRequest): Int = fleet.outputEstimate.expected(request)

    /** Prompt tokens per millisecond that the ready engines of [service] process together. */
    internal fun capacity(service: String): Double = fleet.capacity(service)

    /** Time until the limit of its workspace allows [request] after [reserved] tokens of requests that wait. */
    internal fun limitWait(
        request: DispatchRequest,
        reserved: Long,
        now: Duration,
    ): Duration = limits.waitTime(request.workspace, request.charge, now, reserved)

    /** Weight of [workspace] for fair queueing: its rate limit, or the mean of all limits if it has none. */
    internal fun weightOf(workspace: String): Double = weights[workspace] ?: meanWeight

    /**
     * Decides whether and where to run [request].
     *
     * @param maxWait expected wait on an engine above which the request is refused; null for what its target allows
     */
    public fun admit(
        request: DispatchRequest,
        now: Duration,
        maxWait: Duration? = null,
    ): Admission {
        val wait = limits.waitTime(request.workspace, request.charge, now)
        // Where late requests may wait, one whose target has passed is not over its limit for that.
        val target = if (isQueued(request.service)) maxOf(request.targetMillis, 0) else request.targetMillis
        val maxLimitWait = target.milliseconds * options.limitWaitShare
        if (wait > maxLimitWait) return refuse(DispatchRefusal.OVER_LIMIT, limitRetryAfter(wait - maxLimitWait / 2), wait = wait)
        val admission = place(request, wait, maxWait, now)
        val sent = (admission as? Admission.Decided)?.decision is DispatchDecision.Send
        if (sent) limits.spend(request.workspace, request.charge, now)
        return admission
    }

    private fun place(
        request: DispatchRequest,
        limitWait: Duration,
        maxWait: Duration?,
        now: Duration,
    ): Admission {
        val candidates = fleet.candidates(request, now)
        if (candidates.isEmpty()) return refuseWithoutServer(request)
        if (!fleet.hasLimits) return placeWithinColdLimits(candidates, request, limitWait, maxWait, now)
        val (open, closed) = candidates.partition { fleet.limitWait(it, now) == Duration.ZERO }
        if (open.isEmpty()) return refuseLimited(closed, now)
        val admission = placeWithinColdLimits(open, request, limitWait, maxWait, now)
        val refusal = (admission as? Admission.Decided)?.decision as? DispatchDecision.Refuse
        val holders = if (refusal?.reason == DispatchRefusal.LOADING) closed.filter { holds(it, request) } else emptyList()
        return if (holders.isEmpty()) admission else refuseLimited(holders, now)
    }

    private fun refuseLimited(
        servers: List<DispatchServer>,
        now: Duration,
    ): Admission {
        val wait = servers.minOf { fleet.limitWait(it, now) }
        return refuse(DispatchRefusal.LIMITED, wait + 1.milliseconds, servers.size, wait)
    }

    /** True if [server] holds the model and the adapter of [request], or is loading it. */
    private fun holds(
        server: DispatchServer,
        request: DispatchRequest,
    ): Boolean {
        val model = request.model ?: return true
        if (!server.holdsModel(model)) return false
        val adapter = request.adapter ?: return true
        return planner.holdsVersion(server, adapter, fleet.currentVersion(model, adapter))
    }

    private fun placeWithinColdLimits(
        candidates: List<DispatchServer>,
        request: DispatchRequest,
        limitWait: Duration,
        maxWait: Duration?,
        now: Duration,
    ): Admission {
        if (!fleet.mayBeCold(request.service)) return placeOn(candidates, request, limitWait, maxWait, now)
        val (cold, warm) = candidates.partition { fleet.isCold(it, now) }
        val admission =
            if (warm.isEmpty()) refuse(DispatchRefusal.BUSY, COLD_RETRY, cold.size) else placeOn(warm, request, limitWait, maxWait, now)
        val isRefused = (admission as? Admission.Decided)?.decision is DispatchDecision.Refuse
        val open = if (isRefused) cold.filter { fleet.hasColdRoom(it, now + limitWait, now) } else emptyList()
        return if (open.isEmpty()) admission else placeOn(open, request, limitWait, maxWait, now)
    }

    private fun placeOn(
        candidates: List<DispatchServer>,
        request: DispatchRequest,
        limitWait: Duration,
        maxWait: Duration?,
        now: Duration,
    ): Admission {
        val model = request.model ?: return placePlain(request, candidates, limitWait, now)
        val holders = candidates.filterUnlessAll { it.holdsModel(model) }
        if (holders.isEmpty()) return refuse(DispatchRefusal.LOADING, MODEL_RETRY, candidates.size)
        val withMemory = holders.filterUnlessAll { fleet.hasMemory(it, request) }
        if (withMemory.isEmpty()) return refuse(DispatchRefusal.BUSY, BUSY_RETRY, holders.size)
        val adapter = request.adapter
        if (adapter != null) return placeAdapter(request, model, adapter, withMemory, limitWait, maxWait, now)
        return send(request, withMemory.minBy { fleet.answerCostMillis(it, request, now) }, limitWait, null, maxWait, now)
    }

    private fun refuseWithoutServer(request: DispatchRequest): Admission {
        val evacuated = fleet.countIfAllEvacuated(request.service)
        if (evacuated > 0) return Admission.Decided(DispatchDecision.Refuse.evacuated(evacuated))
        if (fleet.isVersionGone(request)) return refuse(DispatchRefusal.VERSION_GONE, NO_SERVER_RETRY)
        return refuse(DispatchRefusal.NO_SERVER, NO_SERVER_RETRY)
    }

    private fun placePlain(
        request: DispatchRequest,
        servers: List<DispatchServer>,
        limitWait: Duration,
        now: Duration,
    ): Admission {
        val best = servers.minBy { fleet.cost(it, request, now) }
        val wait = fleet.queueTime(best)
        if (wait > request.targetMillis.milliseconds * options.waitShare) return refuse(DispatchRefusal.BUSY, wait / 2, servers.size, wait)
        return send(request, best, limitWait, null, null, now)
    }

    private fun placeAdapter(
        request: DispatchRequest,
        model: String,
        adapter: String,
        servers: List<DispatchServer>,
        limitWait: Duration,
        maxWait: Duration?,
        now: Duration,
    ): Admission {
        val version = fleet.currentVersion(model, adapter)

        fun holderCost(server: DispatchServer) = fleet.cost(server, request, now) + planner.remainingLoad(server, adapter, now)
        val holder =
            servers
                .filter { planner.holdsVersion(it, adapter, version) }
                .minByOrNull { holderCost(it) + it.promptTime(request.promptTokens) }
        val loader =
            if (holder != null && isSoon(holderCost(holder), request)) {
                null
            } else {
                planner.pickServer(request, adapter, loadersAmong(servers, request, now), now)
            }
        val loadCost =
            loader?.let { fleet.cost(it, request, now) + planner.loadTime(it, adapter) + options.loadMargin } ?: Duration.INFINITE
        if (holder != null && holderCost(holder) <= loadCost + options.copyThreshold) {
            val slot = holder.adapterSlots.getValue(adapter)
            if (slot.state == State.RESERVED) return Admission.AwaitOrder(holder.report.id, adapter)
            return send(request, holder, maxOf(slot.readyAt - now, limitWait), version, maxWait, now)
        }
        if (loader == null) return refuse(DispatchRefusal.LOADING, options.adapterLoad / 2, servers.size)
        val isLoadTooLate = isTooLate(loadCost, loader, request, maxWait)
        if (isLoadTooLate) return refuse(DispatchRefusal.BUSY, retryAfter(loadCost, request), servers.size, loadCost)
        return Admission.Load(planner.reserve(loader, model, adapter, version, now))
    }

    /**
     * The servers among [servers] on which the adapter of [request] may be loaded. Limited ones only if there are no others and no server
     * holds the adapter: what they take may be used up once it is loaded, and the next one would be asked to load it.
     */
    private fun loadersAmong(
        servers: List<DispatchServer>,
        request: DispatchRequest,
        now: Duration,
    ): List<DispatchServer> {
        if (!fleet.hasLimits) return servers
        val unlimited = servers.filterNot(fleet::isLimited)
        if (unlimited.isNotEmpty()) return unlimited
        return if (fleet.candidates(request, now).any { holds(it, request) }) emptyList() else servers
    }

    /** True if a wait of [wait] on a server that holds the adapter is short enough that another copy would not help. */
    private fun isSoon(
        wait: Duration,
        request: DispatchRequest,
    ): Boolean = wait < minOf(request.targetMillis, request.remainingMillis).milliseconds * options.holderWaitShare

    private fun send(
        request: DispatchRequest,
        server: DispatchServer,
        hold: Duration,
        version: Long?,
        maxWait: Duration?,
        now: Duration,
    ): Admission {
        val holdTime = hold.coerceAtLeast(Duration.ZERO)
        val wait = fleet.cost(server, request, now) + holdTime
        val isAnswerTooLate = request.model != null && isTooLate(wait, server, request, maxWait)
        if (isAnswerTooLate) return refuse(DispatchRefusal.BUSY, retryAfter(wait, request), 1, wait)
        val sendAt = now + holdTime
        if (fleet.isCold(server, now) && !fleet.hasColdRoom(server, sendAt, now)) return refuse(DispatchRefusal.BUSY, COLD_RETRY, 1, wait)
        val isHeldTooLong = holdTime > MAX_LIMITED_HOLD && fleet.isLimited(server)
        if (isHeldTooLong) return refuse(DispatchRefusal.BUSY, holdTime - MAX_LIMITED_HOLD, 1, wait)
        fleet.recordSend(server, sendAt, now)
        tracker.recordSent(request, server, holdTime, now)
        val limitSequence = fleet.reportedLimits.nextGrant(server.report)
        val decision =
            DispatchDecision.Send(
                server = server.report.id,
                address = server.report.address,
                holdMillis = holdTime.inWholeMilliseconds,
                version = version,
                limitSequence = limitSequence,
                softwareVersion = server.report.softwareVersion.ifEmpty { null },
            )
        return Admission.Decided(decision)
    }

    private fun isTooLate(
        wait: Duration,
        server: DispatchServer,
        request: DispatchRequest,
        maxWait: Duration?,
    ): Boolean = if (maxWait != null) wait > maxWait else fleet.isTooLate(wait, server, request)

    /** Retry delay: short enough to meet the target if the queue shrinks meanwhile, because later answers are worth less to the client. */
    private fun retryAfter(
        wait: Duration,
        request: DispatchRequest,
    ): Duration = (wait / 2 - request.targetMillis.milliseconds / 4).coerceIn(MIN_RETRY, MAX_RETRY)

    /** A limit of zero, as long as no entry instance has reported, has an infinite wait; it ends with the first report. */
    private fun limitRetryAfter(wait: Duration): Duration = if (wait.isInfinite()) NO_SHARE_RETRY else wait

    private fun refuse(
        reason: DispatchRefusal,
        retry: Duration,
        servers: Int = 0,
        wait: Duration? = null,
    ): Admission {
        val waitMillis = wait?.takeIf { it.isFinite() }?.inWholeMilliseconds
        return Admission.Decided(DispatchDecision.Refuse(reason, retry.inWholeMilliseconds.coerceAtLeast(1), servers, waitMillis))
    }

    private companion object {
        val NO_SERVER_RETRY = 500.milliseconds
        val NO_SHARE_RETRY = 500.milliseconds
        val MODEL_RETRY = 500.milliseconds
        val COLD_RETRY = 500.milliseconds
        val BUSY_RETRY = 200.milliseconds
        val MIN_RETRY = 50.milliseconds
        val MAX_RETRY = 2.seconds

        /** Longest hold of a request for a limited server, so that requests arrive at the rate at which they were granted. */
        val MAX_LIMITED_HOLD = 1.seconds
    }
}
