package anvilslip.policy

import anvilslip.policy.AdapterSlot.State
import anvilslip.state.AdapterName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides for all entry instances which server runs a request, whether it is refused, and which adapters are loaded. Owned by
 * the leader; deterministic, without threads, clocks or connections of its own.
 *
 * An engine spends most of its time on reading prompts, so it is as busy as the prompt tokens sent to it that it has not read.
 * A request goes where it is expected to be answered first; one that cannot be answered within its target is refused at once,
 * since it would only delay the others.
 *
 * @param hasPredecessor true when another leader came before, whose orders may still be under way and whose limits were in use
 */
public class Dispatcher(
    private val options: DispatchOptions,
    now: Duration,
    hasPredecessor: Boolean,
) {
    private val fleet = DispatchFleet(options)
    private val limits = WorkspaceLimits(hasPredecessor)
    private val book = RequestTracker(fleet, limits, options)
    private val loads = LoadPlanner(fleet, options, mayOrder = !hasPredecessor, now = now)

    /** Requests sent to servers that have not ended. */
    public val runningRequests: Int get() = book.size

    /** Takes over the configuration and the named versions in force. */
    public fun configure(
        next: ServingConfiguration,
        versions: Map<AdapterName, Long>,
        now: Duration,
    ) {
        fleet.versions = versions
        if (next.version == fleet.configuration.version) return
        fleet.configuration = next
        limits.configure(next.workspaces, now)
    }

    /** Hands out only [share] of each limit, since entry instances out of reach keep to their part of the rest. */
    public fun setLimitShare(
        share: Double,
        now: Duration,
    ): Unit = limits.setShare(share, now)

    /** Orders of the leader before can no longer be under way, so this one may give its own. */
    public fun allowOrders(): Unit = loads.allowOrders()

    /** Takes over the servers that are alive. */
    public fun updateServers(
        reports: List<ServerReport>,
        now: Duration,
    ): Unit = fleet.updateServers(reports, now)

    /** Engines that must be asked for their state before orders can be given to them. */
    public fun enginesToQuery(now: Duration): List<ServerReport> = loads.enginesToQuery(now)

    /** Takes in what server [id] said of its state; null when it did not answer. */
    public fun recordInventory(
        id: String,
        survey: EngineInventory?,
        now: Duration,
    ): Unit = loads.recordInventory(id, survey, now)

    /** What is to be ordered for [order] now; null when it can no longer be carried out. */
    public fun loadSteps(order: LoadOrder): LoadSteps? = loads.loadSteps(order)

    /** The server of [order] has dropped [adapter] and has taken [orders]. */
    public fun recordEviction(
        order: LoadOrder,
        adapter: String,
        orders: Long,
    ): Unit = loads.recordEviction(order, adapter, orders)

    /** [order] was taken by its server; [orders] is what the server has taken with it. */
    public fun recordLoadStarted(
        order: LoadOrder,
        orders: Long,
        now: Duration,
    ): Unit = loads.recordStarted(order, orders, now)

    /** [order] was refused or not answered; the server must be asked for its state before the next one. */
    public fun recordLoadFailed(
        order: LoadOrder,
        now: Duration,
    ): Unit = loads.recordFailed(order, now)

    /** A base model to load on an engine that holds none, if one is due. */
    public fun nextModelOrder(now: Duration): ModelOrder? = loads.nextModelOrder(now)

    /** [order] ended, and was [taken] by its server or not. */
    public fun recordModelOrder(
        order: ModelOrder,
        taken: Boolean,
        now: Duration,
    ): Unit = loads.recordModelOrder(order, taken, now)

    /** Takes in what became of requests of [entry]. */
    public fun applyEvents(
        entry: String,
        events: List<RequestEvent>,
        now: Duration,
    ): Unit = events.forEach { book.step(entry, it, now) }

    /** Takes over the requests that [entry] has running. */
    public fun restoreRequests(
        entry: String,
        running: List<RunningRequest>,
        now: Duration,
    ): Unit = book.restoreRequests(entry, running, now)

    /** Drops requests that must have ended. */
    public fun expire(now: Duration): Unit = book.expire(now)

    /** Decides on [request]. */
    public fun admit(
        request: DispatchRequest,
        now: Duration,
    ): Admission {
        val wait = limits.waitTime(request.workspace, request.charge, now)
        val patience = request.targetMillis.milliseconds * options.limitWaitShare
        if (wait > patience) return refuse(DispatchRefusal.OVER_LIMIT, wait - patience / 2, wait = wait)
        val admission = place(request, wait, now)
        val sent = (admission as? Admission.Decided)?.decision is DispatchDecision.Send
        if (sent) limits.spend(request.workspace, request.charge, now)
        return admission
    }

    private fun place(
        request: DispatchRequest,
        limitWait: Duration,
        now: Duration,
    ): Admission {
        val up = fleet.candidates(request, now)
        if (up.isEmpty()) return refuse(DispatchRefusal.NO_SERVER, NO_SERVER_RETRY)
        val model = request.model ?: return placePlain(request, up, limitWait, now)
        val holders = up.filter { it.holds(model) }
        if (holders.isEmpty()) return refuse(DispatchRefusal.LOADING, MODEL_RETRY, up.size)
        val roomy = holders.filter { fleet.hasMemory(it, request) }
        if (roomy.isEmpty()) return refuse(DispatchRefusal.BUSY, BUSY_RETRY, holders.size)
        val adapter = request.adapter ?: return send(request, roomy.minBy { fleet.cost(it, request) }, limitWait, null, now)
        return placeAdapter(request, model, adapter, roomy, limitWait, now)
    }

    private fun placePlain(
        request: DispatchRequest,
        up: List<DispatchServer>,
        limitWait: Duration,
        now: Duration,
    ): Admission {
        val best = up.minBy { fleet.cost(it, request) }
        val wait = fleet.queueTime(best)
        if (wait > request.targetMillis.milliseconds * options.waitShare) return refuse(DispatchRefusal.BUSY, wait / 2, up.size, wait)
        return send(request, best, limitWait, null, now)
    }

    private fun placeAdapter(
        request: DispatchRequest,
        model: String,
        adapter: String,
        up: List<DispatchServer>,
        limitWait: Duration,
        now: Duration,
    ): Admission {
        val version = fleet.version(model, adapter)

        fun holdCost(server: DispatchServer) = fleet.cost(server, request) + loads.remainingLoad(server, adapter, now)
        val holder = up.filter { loads.isCurrent(it, adapter, version) }.minByOrNull(::holdCost)
        val loader = if (holder != null && isSoon(holdCost(holder), request)) null else loads.loader(request, adapter, up, now)
        val loadCost = loader?.let { fleet.cost(it, request) + loads.loadTime(it, adapter) + options.loadMargin } ?: Duration.INFINITE
        if (holder != null && holdCost(holder) <= loadCost + options.copyThreshold) {
            val place = holder.places.getValue(adapter)
            if (place.state == State.RESERVED) return Admission.AwaitOrder(holder.report.id, adapter)
            return send(request, holder, maxOf(place.readyAt - now, limitWait), version, now)
        }
        if (loader == null) return refuse(DispatchRefusal.LOADING, options.adapterLoad / 2, up.size)
        if (fleet.isTooLate(loadCost, request)) return refuse(DispatchRefusal.BUSY, retryAfter(loadCost, request), up.size, loadCost)
        return Admission.Load(loads.start(loader, model, adapter, version, now))
    }

    /** True when a wait of [wait] at a server that holds the adapter leaves enough of the target for another copy to gain nothing. */
    private fun isSoon(
        wait: Duration,
        request: DispatchRequest,
    ): Boolean = wait < minOf(request.targetMillis, request.remainingMillis).milliseconds * options.holderWaitShare

    private fun send(
        request: DispatchRequest,
        server: DispatchServer,
        hold: Duration,
        version: Long?,
        now: Duration,
    ): Admission {
        val holdTime = hold.coerceAtLeast(Duration.ZERO)
        val wait = fleet.cost(server, request) + holdTime
        if (request.model != null && fleet.isTooLate(wait, request)) return refuse(DispatchRefusal.BUSY, retryAfter(wait, request), 1, wait)
        book.sent(request, server, now)
        return Admission.Decided(DispatchDecision.Send(server.report.id, server.report.address, holdTime.inWholeMilliseconds, version))
    }

    /** Early enough for an answer within the target should the queue shrink by then; later ones are worth less to the client. */
    private fun retryAfter(
        wait: Duration,
        request: DispatchRequest,
    ): Duration = (wait / 2 - request.targetMillis.milliseconds / 4).coerceIn(MIN_RETRY, MAX_RETRY)

    private fun refuse(
        reason: DispatchRefusal,
        retry: Duration,
        servers: Int = 0,
        wait: Duration? = null,
    ): Admission =
        Admission.Decided(DispatchDecision.Refuse(reason, retry.inWholeMilliseconds.coerceAtLeast(1), servers, wait?.inWholeMilliseconds))

    private companion object {
        val NO_SERVER_RETRY = 500.milliseconds
        val MODEL_RETRY = 500.milliseconds
        val BUSY_RETRY = 200.milliseconds
        val MIN_RETRY = 50.milliseconds
        val MAX_RETRY = 2.seconds
    }
}
