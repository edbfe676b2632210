package anvilslip.policy

import anvilslip.policy.AdapterPlace.State
import anvilslip.state.AdapterName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Decides for all entry instances which server runs a request, whether it is refused, and which adapters are loaded. Owned by
 * the leader; deterministic, without threads, clocks or connections of its own.
 *
 * An engine spends most of its time on reading prompts, so it is as busy as the prompt tokens sent to it that it has not read.
 * A request goes where it is expected to be answered first; one that cannot be answered within its target is refused at once,
 * since it would only delay the others.
 *
 * @param inherits true when another leader came before, whose orders may still be under way and whose limits were in use
 */
public class Dispatcher(
    private val options: DispatchOptions,
    now: Duration,
    private val inherits: Boolean,
) {
    private class Ticket(
        val server: String,
        val adapter: String?,
        val workspace: String?,
        val charge: Long,
        var unread: Int,
        val memory: Int,
        val sentAt: Duration,
        val expires: Duration,
    )

    private val servers = LinkedHashMap<String, DispatchServer>()
    private val tickets = HashMap<Pair<String, Long>, Ticket>()
    private val buckets = HashMap<String, WorkspaceBucket>()
    private val speeds = HashMap<String, PrefillSpeed>()
    private var mayOrder = !inherits
    private var modelLoads = 1.0
    private var modelLoadsAt = now
    private var configuration = ServingConfiguration(-1)
    private var named: Map<AdapterName, Long> = emptyMap()
    private var limitShare = 1.0

    /** Requests sent to servers that have not ended. */
    public val running: Int get() = tickets.size

    /** Takes over the configuration and the named versions in force. */
    public fun configure(
        next: ServingConfiguration,
        versions: Map<AdapterName, Long>,
        now: Duration,
    ) {
        named = versions
        if (next.version == configuration.version) return
        configuration = next
        limit(limitShare, now)
        buckets.keys.retainAll(next.workspaces.map { it.name }.toSet())
    }

    /** Hands out only [share] of each limit, since entry instances out of reach keep to their part of the rest. */
    public fun limit(
        share: Double,
        now: Duration,
    ) {
        limitShare = share
        for (workspace in configuration.workspaces.filter { it.ratePerSecond > 0 }) {
            val rate = workspace.ratePerSecond * share
            val burst = workspace.burst * share
            val start = if (inherits) 0.0 else burst
            buckets.getOrPut(workspace.name) { WorkspaceBucket(rate, burst, start, now) }.limit(rate, burst, now)
        }
        val limited = configuration.workspaces.filter { it.ratePerSecond > 0 }.map { it.name }
        buckets.keys.retainAll(limited.toSet())
    }

    /** Orders of the leader before can no longer be under way, so this one may give its own. */
    public fun allowOrders() {
        mayOrder = true
    }

    /** Takes over the servers that are alive. */
    public fun fleet(
        reports: List<ServerReport>,
        now: Duration,
    ) {
        servers.keys.retainAll(reports.map { it.id }.toSet())
        for (report in reports) {
            val server = servers[report.id]
            when {
                server == null -> servers[report.id] = DispatchServer(report, options).also { it.assume(report, now) }
                server.report.bornMillis != report.bornMillis -> server.restart(report)
                else -> server.report = report
            }
        }
    }

    /** Engines that must be asked for their state before orders can be given to them. */
    public fun unsurveyed(now: Duration): List<ServerReport> =
        if (!mayOrder) {
            emptyList()
        } else {
            servers.values
                .filter { it.isReady && it.orders == null && isEngine(it) && now >= it.ordersPausedUntil }
                .map { it.report }
        }

    /** Takes in what server [id] said of its state; null when it did not answer. */
    public fun surveyed(
        id: String,
        survey: ServerSurvey?,
        now: Duration,
    ) {
        val server = servers[id] ?: return
        if (survey == null) server.ordersPausedUntil = now + options.failedOrderPause else server.survey(survey, now)
    }

    /** Decides on [demand]. */
    public fun admit(
        demand: ServeDemand,
        now: Duration,
    ): Admission {
        val bucket = demand.workspace?.takeIf { demand.charge > 0 }?.let { buckets[it] }
        val charge = demand.charge.toDouble()
        val wait = bucket?.wait(charge, now) ?: Duration.ZERO
        val patience = demand.targetMillis.milliseconds * options.limitWaitShare
        if (wait > patience) return refuse(ServeRefusal.OVER_LIMIT, wait - patience / 2, wait = wait)
        val admission = place(demand, now, wait)
        val sent = (admission as? Admission.Decided)?.decision is ServeDecision.Send
        if (sent) bucket?.spend(charge, now)
        return admission
    }

    private fun place(
        demand: ServeDemand,
        now: Duration,
        limitWait: Duration,
    ): Admission {
        val all = servers.values.filter { it.report.service == demand.service && it.isReady && it.report.id !in demand.exclude }
        val up = all.filter { now >= it.avoidedUntil }.ifEmpty { all }
        if (up.isEmpty()) return refuse(ServeRefusal.NO_SERVER, NO_SERVER_RETRY)
        val model = demand.model ?: return placePlain(demand, up, limitWait, now)
        val holders = up.filter { it.holds(model) }
        if (holders.isEmpty()) return refuse(ServeRefusal.LOADING, MODEL_RETRY, up.size)
        val roomy = holders.filter { hasMemory(it, demand) }
        if (roomy.isEmpty()) return refuse(ServeRefusal.BUSY, BUSY_RETRY, holders.size)
        val adapter = demand.adapter ?: return send(demand, fastest(roomy, demand), limitWait, null, now)
        return placeAdapter(demand, model, adapter, roomy, limitWait, now)
    }

    private fun placePlain(
        demand: ServeDemand,
        up: List<DispatchServer>,
        limitWait: Duration,
        now: Duration,
    ): Admission {
        val best = up.minBy { cost(it, demand) }
        val queued = best.running - best.report.slots + 1
        val wait = if (queued <= 0) Duration.ZERO else options.serviceTime * queued / best.report.slots
        if (wait > demand.targetMillis.milliseconds * options.waitShare) return refuse(ServeRefusal.BUSY, wait / 2, up.size, wait)
        return send(demand, best, limitWait, null, now)
    }

    private fun placeAdapter(
        demand: ServeDemand,
        model: String,
        adapter: String,
        up: List<DispatchServer>,
        limitWait: Duration,
        now: Duration,
    ): Admission {
        val version = named[AdapterName(model, adapter)]
        val holder = up.filter { isCurrent(it, adapter, version) }.minByOrNull { cost(it, demand) + remainingLoad(it, adapter, now) }
        val loader = loader(demand, adapter, up, now)
        val holdCost = holder?.let { cost(it, demand) + remainingLoad(it, adapter, now) } ?: Duration.INFINITE
        val loadCost = loader?.let { cost(it, demand) + loadTime(it, adapter) + options.loadMargin } ?: Duration.INFINITE
        if (holder != null && holdCost <= loadCost + options.copyThreshold) {
            val place = holder.places.getValue(adapter)
            if (place.state == State.RESERVED) return Admission.AwaitOrder(holder.report.id, adapter)
            return send(demand, holder, maxOf(place.readyAt - now, limitWait), version, now)
        }
        if (loader == null) return refuse(ServeRefusal.LOADING, options.adapterLoad, up.size)
        if (isTooLate(loadCost, demand)) return refuse(ServeRefusal.BUSY, retryAfter(loadCost, demand), up.size, loadCost)
        return Admission.Load(startLoad(loader, model, adapter, version, now))
    }

    private fun isCurrent(
        server: DispatchServer,
        adapter: String,
        version: Long?,
    ): Boolean = server.places[adapter]?.let { it.state != State.LEAVING && (version == null || (it.version ?: 0) >= version) } ?: false

    /** The server on which [adapter] would be loaded: where it can be had soonest. */
    private fun loader(
        demand: ServeDemand,
        adapter: String,
        up: List<DispatchServer>,
        now: Duration,
    ): DispatchServer? {
        if (!mayOrder) return null
        val slots = configuration.services[demand.service]?.engine?.adapterSlots ?: return null
        val able =
            up.filter {
                it.orders != null && now >= it.ordersPausedUntil && it.loading(now) < options.loadsPerServer &&
                    canTake(it, adapter, slots, now)
            }
        val warm = able.filter { it.isWarm(adapter) }
        val cold = able.takeIf { coldLoads(now) < concurrentLoads(up.size) }.orEmpty()
        return (warm + cold).minByOrNull { cost(it, demand) + loadTime(it, adapter) + zoneless(it, now) }
    }

    /** Prefers free places, then those whose adapter has not been used for long. */
    private fun zoneless(
        server: DispatchServer,
        now: Duration,
    ): Duration {
        val victim = server.victim(now) ?: return Duration.ZERO
        return (options.adapterLoad - (now - victim.lastUse) / VICTIM_AGE).coerceAtLeast(Duration.ZERO)
    }

    private fun canTake(
        server: DispatchServer,
        adapter: String,
        slots: Int,
        now: Duration,
    ): Boolean {
        val stale = server.places[adapter]
        if (stale != null) return stale.isIdle(now)
        return server.places.size < slots || (server.places.size == slots && server.victim(now) != null)
    }

    private fun coldLoads(now: Duration): Int = servers.values.sumOf { it.loading(now) }

    private fun concurrentLoads(servers: Int): Int = maxOf(options.minConcurrentLoads, (servers * options.concurrentLoadsPerServer).toInt())

    private fun startLoad(
        server: DispatchServer,
        model: String,
        adapter: String,
        version: Long?,
        now: Duration,
    ): LoadOrder {
        val slots =
            configuration.services
                .getValue(server.report.service)
                .engine!!
                .adapterSlots
        val stale = server.places[adapter]
        val evict = if (stale == null && server.places.size >= slots) server.victim(now) else null
        evict?.state = State.LEAVING
        val place = server.places.getOrPut(adapter) { AdapterPlace(adapter, State.RESERVED, null, now, now) }
        place.state = State.RESERVED
        place.version = version
        place.lastUse = now
        return LoadOrder(server.report.id, server.report.address, model, adapter, version, evict?.adapter)
    }

    /** What is to be ordered for [order] now; null when it can no longer be carried out. */
    public fun stepsOf(order: LoadOrder): LoadSteps? {
        val server = servers[order.server] ?: return null
        val slots = configuration.services[server.report.service]?.engine?.adapterSlots ?: return null
        val orders = server.orders ?: return null
        val evict = order.evict?.takeIf { it in server.places }
        val others = server.taken - (if (evict == null) 0 else 1)
        return if (others < slots && order.adapter in server.places) LoadSteps(orders, evict) else null
    }

    /** The server of [order] has dropped [adapter] and has taken [orders]. */
    public fun evicted(
        order: LoadOrder,
        adapter: String,
        orders: Long,
    ) {
        val server = servers[order.server] ?: return
        server.orders = orders
        server.drop(adapter)
    }

    /** [order] was taken by its server; [orders] is what the server has taken with it. */
    public fun loadStarted(
        order: LoadOrder,
        orders: Long,
        now: Duration,
    ) {
        val server = servers[order.server] ?: return
        val loads = coldLoads(now)
        server.orders = orders
        val slowdown = maxOf(1.0, loads.toDouble() / concurrentLoads(servers.values.count(::isEngine)))
        val time = if (server.isWarm(order.adapter)) options.warmAdapterLoad else options.adapterLoad * slowdown
        val place = server.places.getOrPut(order.adapter) { AdapterPlace(order.adapter, State.LOADED, null, now, now) }
        place.state = State.LOADED
        place.version = order.version
        place.readyAt = now + time + options.loadMargin
    }

    /** [order] was refused or not answered; the server must be asked for its state before the next one. */
    public fun loadFailed(
        order: LoadOrder,
        now: Duration,
    ) {
        val server = servers[order.server] ?: return
        server.orders = null
        server.ordersPausedUntil = now + options.failedOrderPause
        if (server.places[order.adapter]?.state == State.RESERVED) server.places.remove(order.adapter)
        order.evict?.let { server.places[it] }?.let { it.state = State.LOADED }
    }

    /** A base model to load on an engine that holds none, if one is due. */
    public fun modelOrder(now: Duration): ModelOrder? {
        if (!mayOrder) return null
        val server =
            servers.values.firstOrNull {
                isEngine(it) && it.isReady && it.orders != null && !it.isLoadingModel && now >= it.ordersPausedUntil &&
                    it.report.models?.isEmpty() == true
            } ?: return null
        val engine = configuration.services.getValue(server.report.service).engine ?: return null
        modelLoads = minOf(1.0, modelLoads + engine.loadsPerSecond * (now - modelLoadsAt).toDouble(DurationUnit.SECONDS))
        modelLoadsAt = now
        if (modelLoads < 1.0) return null
        modelLoads -= 1.0
        val model = engine.models.filter { it.weightsMb <= engine.weightsMb }.minByOrNull { holders(it.name) } ?: return null
        server.isLoadingModel = true
        return ModelOrder(server.report.id, server.report.address, model.name, server.orders!!)
    }

    /** [order] ended; [orders] is what the server has taken, or null when it was refused or not answered. */
    public fun modelOrdered(
        order: ModelOrder,
        orders: Long?,
        now: Duration,
    ) {
        val server = servers[order.server] ?: return
        server.orders = orders
        server.isLoadingModel = orders != null
        val time =
            configuration.services[server.report.service]
                ?.engine
                ?.models
                ?.firstOrNull { it.name == order.model }
                ?.loadTime
        server.ordersPausedUntil = now + if (orders == null) options.failedOrderPause else (time ?: 1.seconds)
        if (orders != null) server.orders = null
    }

    private fun holders(model: String): Int = servers.values.count { it.holds(model) }

    /** Takes in what became of requests of [entry]. */
    public fun progress(
        entry: String,
        events: List<ServeEvent>,
        now: Duration,
    ): Unit = events.forEach { step(entry, it, now) }

    private fun step(
        entry: String,
        event: ServeEvent,
        now: Duration,
    ) {
        val key = entry to event.number
        val ticket = tickets[key] ?: return
        val server = servers[ticket.server]
        when (event.step) {
            ServeStep.ANSWERING -> {
                server?.let { observe(it, ticket, now) }
                read(ticket)
            }

            ServeStep.ENDED -> {
                end(key, ticket)
            }

            ServeStep.NOT_RUN, ServeStep.NOT_HELD, ServeStep.UNREACHABLE -> {
                end(key, ticket)
                ticket.workspace?.let { buckets[it]?.refund(ticket.charge.toDouble()) }
                if (event.step == ServeStep.UNREACHABLE) server?.avoidedUntil = now + options.unreachablePause
                if (event.step == ServeStep.NOT_HELD) server?.orders = null
            }
        }
    }

    private fun observe(
        server: DispatchServer,
        ticket: Ticket,
        now: Duration,
    ) {
        val from = maxOf(ticket.sentAt, server.lastAnswer)
        server.lastAnswer = now
        if (ticket.unread > 0 && now > from) speed(server.report.service).observe(ticket.unread, now - from)
    }

    private fun read(ticket: Ticket) {
        servers[ticket.server]?.let { it.unread -= ticket.unread }
        ticket.unread = 0
    }

    private fun end(
        key: Pair<String, Long>,
        ticket: Ticket,
    ) {
        read(ticket)
        tickets.remove(key)
        val server = servers[ticket.server] ?: return
        server.running--
        server.memory -= ticket.memory
        ticket.adapter?.let { server.places[it] }?.let { it.inUse-- }
    }

    /** Takes over the requests that [entry] has running. */
    public fun adopt(
        entry: String,
        running: List<RunningRequest>,
        now: Duration,
    ) {
        for (request in running) {
            val server = servers[request.server] ?: continue
            val key = entry to request.number
            if (key in tickets) continue
            val expires = now + request.leftMillis.milliseconds + TICKET_MARGIN
            take(
                key,
                server,
                Ticket(request.server, request.adapter, null, 0, request.promptTokens, request.promptTokens, now, expires),
                now,
            )
        }
    }

    /** Drops requests that must have ended. */
    public fun expire(now: Duration) {
        for ((key, ticket) in tickets.filterValues { now >= it.expires }) end(key, ticket)
    }

    private fun send(
        demand: ServeDemand,
        server: DispatchServer,
        hold: Duration,
        version: Long?,
        now: Duration,
    ): Admission {
        val wait = cost(server, demand) + hold.coerceAtLeast(Duration.ZERO)
        if (demand.model != null && isTooLate(wait, demand)) return refuse(ServeRefusal.BUSY, retryAfter(wait, demand), 1, wait)
        val expires = now + demand.leftMillis.milliseconds + TICKET_MARGIN
        val memory = demand.promptTokens
        val ticket = Ticket(server.report.id, demand.adapter, demand.workspace, demand.charge, demand.promptTokens, memory, now, expires)
        take(demand.entry to demand.number, server, ticket, now)
        val holdMillis = hold.coerceAtLeast(Duration.ZERO).inWholeMilliseconds
        return Admission.Decided(ServeDecision.Send(server.report.id, server.report.address, holdMillis, version))
    }

    private fun take(
        key: Pair<String, Long>,
        server: DispatchServer,
        ticket: Ticket,
        now: Duration,
    ) {
        tickets[key]?.let { end(key, it) }
        tickets[key] = ticket
        server.running++
        server.unread += ticket.unread
        server.memory += ticket.memory
        val place = ticket.adapter?.let { server.places[it] } ?: return
        place.inUse++
        place.lastUse = now
    }

    private fun isTooLate(
        wait: Duration,
        demand: ServeDemand,
    ): Boolean {
        val own = (demand.promptTokens / speed(demand.service).tokensPerMillisecond).milliseconds
        return wait + own > minOf(demand.targetMillis, demand.leftMillis).milliseconds * options.waitShare && wait > own
    }

    private fun retryAfter(
        wait: Duration,
        demand: ServeDemand,
    ): Duration = (wait - demand.targetMillis.milliseconds / 2).coerceIn(MIN_RETRY, MAX_RETRY)

    private fun hasMemory(
        server: DispatchServer,
        demand: ServeDemand,
    ): Boolean {
        val engine = configuration.services[server.report.service]?.engine ?: return true
        return server.running < engine.slots && server.memory + demand.promptTokens < engine.kvCapacity * options.memoryShare
    }

    private fun fastest(
        candidates: List<DispatchServer>,
        demand: ServeDemand,
    ): DispatchServer = candidates.minBy { cost(it, demand) }

    private fun cost(
        server: DispatchServer,
        demand: ServeDemand,
    ): Duration {
        val zone = if (server.report.zone == demand.zone) Duration.ZERO else options.zonePenalty
        if (demand.model != null) return server.wait(speed(server.report.service).tokensPerMillisecond) + zone
        val queued = maxOf(0, server.running - server.report.slots + 1)
        return options.serviceTime * queued / server.report.slots + RUNNING_COST * server.running + zone
    }

    private fun remainingLoad(
        server: DispatchServer,
        adapter: String,
        now: Duration,
    ): Duration =
        server.places.getValue(adapter).let {
            if (it.state ==
                State.RESERVED
            ) {
                options.adapterLoad
            } else {
                (it.readyAt - now).coerceAtLeast(Duration.ZERO)
            }
        }

    private fun loadTime(
        server: DispatchServer,
        adapter: String,
    ): Duration = if (server.isWarm(adapter)) options.warmAdapterLoad else options.adapterLoad

    private fun isEngine(server: DispatchServer): Boolean = configuration.services[server.report.service]?.engine != null

    private fun speed(service: String): PrefillSpeed = speeds.getOrPut(service) { PrefillSpeed(options.tokensPerMillisecond) }

    private fun refuse(
        reason: ServeRefusal,
        retry: Duration,
        servers: Int = 0,
        wait: Duration? = null,
    ): Admission =
        Admission.Decided(ServeDecision.Refuse(reason, retry.inWholeMilliseconds.coerceAtLeast(1), servers, wait?.inWholeMilliseconds))

    private companion object {
        val NO_SERVER_RETRY = 500.milliseconds
        val MODEL_RETRY = 500.milliseconds
        val BUSY_RETRY = 200.milliseconds
        val MIN_RETRY = 50.milliseconds
        val MAX_RETRY = 2.seconds

        /** Events of a request may come this much after its deadline. */
        val TICKET_MARGIN = 1.seconds

        /** Spreads plain requests over servers that are not full. */
        val RUNNING_COST = 5.milliseconds

        /** An adapter unused for this many times the load time costs nothing to drop. */
        const val VICTIM_AGE = 8
    }
}
