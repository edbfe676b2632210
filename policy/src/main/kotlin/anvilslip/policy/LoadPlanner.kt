package anvilslip.policy

import anvilslip.policy.AdapterSlot.State
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Decides where adapters and base models are loaded, and follows the orders for it. */
internal class LoadPlanner(
    private val fleet: DispatchFleet,
    private val options: DispatchOptions,
    private var mayOrder: Boolean,
    now: Duration,
) {
    private var modelLoads = 1.0
    private var modelLoadsAt = now

    /** Orders of the leader before can no longer be under way. */
    fun allowOrders() {
        mayOrder = true
    }

    /** Engines that must be asked for their state before orders can be given to them. */
    fun enginesToQuery(now: Duration): List<ServerReport> {
        if (!mayOrder) return emptyList()
        val due = fleet.servers.filter { it.isReady && it.orders == null && fleet.engineOf(it) != null && now >= it.ordersPausedUntil }
        return due.map { it.report }
    }

    /** Takes in what server [id] said of its state; null when it did not answer. */
    fun recordInventory(
        id: String,
        survey: EngineInventory?,
        now: Duration,
    ) {
        val server = fleet[id] ?: return
        if (survey == null) server.ordersPausedUntil = now + options.failedOrderPause else server.survey(survey, now)
    }

    fun isCurrent(
        server: DispatchServer,
        adapter: String,
        version: Long?,
    ): Boolean = server.places[adapter]?.let { it.state != State.LEAVING && (version == null || (it.version ?: 0) >= version) } ?: false

    /** The server on which [adapter] would be loaded: where it can be had soonest; null when no place is free. */
    fun loader(
        request: DispatchRequest,
        adapter: String,
        up: List<DispatchServer>,
        now: Duration,
    ): DispatchServer? {
        if (!mayOrder) return null
        val able = up.filter { canOrder(it, now) && it.loading(now) < options.loadsPerServer && canTake(it, adapter, now) }
        val warm = able.filter { it.isWarm(adapter) }
        val cold = able.takeIf { loading(now) < concurrentLoads(up.size) }.orEmpty()
        return (warm + cold).minByOrNull { fleet.cost(it, request) + loadTime(it, adapter) + fetchCost(it, adapter) + evictionCost(it, now) }
    }

    private fun fetchCost(
        server: DispatchServer,
        adapter: String,
    ): Duration = if (server.isWarm(adapter)) Duration.ZERO else options.fetchPenalty

    private fun canOrder(
        server: DispatchServer,
        now: Duration,
    ): Boolean = server.orders != null && now >= server.ordersPausedUntil

    private fun canTake(
        server: DispatchServer,
        adapter: String,
        now: Duration,
    ): Boolean {
        val slots = fleet.engineOf(server)?.adapterSlots ?: return false
        val stale = server.places[adapter]
        if (stale != null) return stale.isIdle(now)
        return server.places.size < slots || (server.places.size == slots && server.victim(now) != null)
    }

    /** Prefers free places, then those whose adapter has not been used for long. */
    private fun evictionCost(
        server: DispatchServer,
        now: Duration,
    ): Duration {
        val victim = server.victim(now) ?: return Duration.ZERO
        return (options.adapterLoad - (now - victim.lastUse) / VICTIM_AGE).coerceAtLeast(Duration.ZERO)
    }

    private fun loading(now: Duration): Int = fleet.servers.sumOf { it.loading(now) }

    private fun concurrentLoads(servers: Int): Int = maxOf(options.minConcurrentLoads, (servers * options.concurrentLoadsPerServer).toInt())

    fun loadTime(
        server: DispatchServer,
        adapter: String,
    ): Duration = if (server.isWarm(adapter)) options.warmAdapterLoad else options.adapterLoad

    /** Time until the place of [adapter] on [server] can be used. */
    fun remainingLoad(
        server: DispatchServer,
        adapter: String,
        now: Duration,
    ): Duration {
        val place = server.places.getValue(adapter)
        return if (place.state == State.RESERVED) options.adapterLoad else (place.readyAt - now).coerceAtLeast(Duration.ZERO)
    }

    /** Reserves a place on [server] for [adapter]. */
    fun start(
        server: DispatchServer,
        model: String,
        adapter: String,
        version: Long?,
        now: Duration,
    ): LoadOrder {
        val slots = fleet.engineOf(server)?.adapterSlots ?: 0
        val stale = server.places[adapter]
        val evict = if (stale == null && server.places.size >= slots) server.victim(now) else null
        evict?.state = State.LEAVING
        val place = server.places.getOrPut(adapter) { AdapterSlot(adapter, State.RESERVED, null, now, now) }
        place.state = State.RESERVED
        place.version = version
        place.lastUse = now
        return LoadOrder(server.report.id, server.report.address, model, adapter, version, evict?.adapter)
    }

    fun loadSteps(order: LoadOrder): LoadSteps? {
        val server = fleet[order.server] ?: return null
        val slots = fleet.engineOf(server)?.adapterSlots ?: return null
        val orders = server.orders ?: return null
        val evict = order.evict?.takeIf { it in server.places }
        val others = server.taken - (if (evict == null) 0 else 1)
        return if (others < slots && order.adapter in server.places) LoadSteps(orders, evict) else null
    }

    fun recordEviction(
        order: LoadOrder,
        adapter: String,
        orders: Long,
    ) {
        val server = fleet[order.server] ?: return
        server.orders = orders
        server.drop(adapter)
    }

    fun recordStarted(
        order: LoadOrder,
        orders: Long,
        now: Duration,
    ) {
        val server = fleet[order.server] ?: return
        val engines = fleet.servers.count { fleet.engineOf(it) != null }
        val slowdown = maxOf(1.0, loading(now).toDouble() / concurrentLoads(engines))
        val time = if (server.isWarm(order.adapter)) options.warmAdapterLoad else options.adapterLoad * slowdown
        server.orders = orders
        val place = server.places.getOrPut(order.adapter) { AdapterSlot(order.adapter, State.LOADED, null, now, now) }
        place.state = State.LOADED
        place.version = order.version
        place.readyAt = now + time + options.loadMargin
    }

    fun recordFailed(
        order: LoadOrder,
        now: Duration,
    ) {
        val server = fleet[order.server] ?: return
        server.orders = null
        server.ordersPausedUntil = now + options.failedOrderPause
        if (server.places[order.adapter]?.state == State.RESERVED) server.places.remove(order.adapter)
        order.evict?.let { server.places[it] }?.let { it.state = State.LOADED }
    }

    /** A base model to load on an engine that holds none, if one is due. */
    fun nextModelOrder(now: Duration): ModelOrder? {
        if (!mayOrder) return null
        val server =
            fleet.servers.firstOrNull { it.isReady && canOrder(it, now) && it.isEmpty && fleet.engineOf(it) != null } ?: return null
        val engine = fleet.engineOf(server) ?: return null
        modelLoads = minOf(1.0, modelLoads + engine.loadsPerSecond * (now - modelLoadsAt).toDouble(DurationUnit.SECONDS))
        modelLoadsAt = now
        if (modelLoads < 1.0) return null
        modelLoads -= 1.0
        val fitting = engine.models.filter { it.weightsMb <= engine.weightsMb }
        val model = fitting.minByOrNull { profile -> fleet.servers.count { it.holds(profile.name) } } ?: return null
        server.isLoadingModel = true
        return ModelOrder(server.report.id, server.report.address, model.name, checkNotNull(server.orders))
    }

    /** [order] ended; when it was [taken], the server is asked for its state once the model must be there. */
    fun recordModelOrder(
        order: ModelOrder,
        taken: Boolean,
        now: Duration,
    ) {
        val server = fleet[order.server] ?: return
        val time =
            fleet
                .engineOf(server)
                ?.models
                ?.firstOrNull { it.name == order.model }
                ?.loadTime ?: 1.seconds
        server.orders = null
        server.isLoadingModel = taken
        server.ordersPausedUntil = now + if (taken) time else options.failedOrderPause
    }

    private companion object {
        /** An adapter unused for this many times the load time costs nothing to drop. */
        const val VICTIM_AGE = 8
    }
}
