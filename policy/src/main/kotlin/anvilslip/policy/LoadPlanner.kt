package anvilslip.policy

import anvilslip.policy.AdapterSlot.State
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Decides on which servers adapters and base models are loaded, and tracks the corresponding orders. */
internal class LoadPlanner(
    private val fleet: DispatchFleet,
    private val options: DispatchOptions,
    private var mayOrder: Boolean,
    now: Duration,
) {
    private var modelLoadTokens = 1.0
    private var modelLoadTokensAt = now

    /** Allows orders to be sent. To be called once no order of the previous leader can be in flight. */
    fun allowOrders() {
        mayOrder = true
    }

    /** Engines whose inventory must be queried before orders can be sent to them. */
    fun enginesToQuery(now: Duration): List<ServerReport> {
        if (!mayOrder) return emptyList()
        val due =
            fleet.servers.filter {
                it.isReady && it.ordersAccepted == null && fleet.engineOf(it) != null &&
                    now >= it.ordersPausedUntil
            }
        return due.map { it.report }
    }

    /** Records the inventory that server [id] returned, or null if it did not answer. */
    fun recordInventory(
        id: String,
        inventory: EngineInventory?,
        now: Duration,
    ) {
        val server = fleet[id] ?: return
        if (inventory == null) server.ordersPausedUntil = now + options.failedOrderPause else server.applyInventory(inventory, now)
    }

    /** True if [server] holds [adapter] at [version] or newer, or is loading it. */
    fun holdsVersion(
        server: DispatchServer,
        adapter: String,
        version: Long?,
    ): Boolean =
        server.adapterSlots[adapter]?.let { it.state != State.LEAVING && (version == null || (it.version ?: 0) >= version) } ?: false

    /** The server on which [adapter] would be usable first, or null if none can load it now. */
    fun pickServer(
        request: DispatchRequest,
        adapter: String,
        candidates: List<DispatchServer>,
        now: Duration,
    ): DispatchServer? {
        if (!mayOrder) return null
        val mayFetch = mayFetch(candidates.size, now)
        var best: DispatchServer? = null
        var bestCost = Double.POSITIVE_INFINITY
        for (i in candidates.indices) {
            val server = candidates[i]
            if (!mayFetch && !server.isWarm(adapter)) continue
            if (!canOrder(server, now) || !canLoad(server, request.model, adapter, now)) continue
            if (server.loadingCount(now) >= options.loadsPerServer) continue
            val cost = fleet.answerCostMillis(server, request, now) + loadCostMillis(server, adapter, now)
            if (cost < bestCost) {
                best = server
                bestCost = cost
            }
        }
        return best
    }

    /** Cost in milliseconds of loading [adapter] on [server], by which servers are compared. */
    private fun loadCostMillis(
        server: DispatchServer,
        adapter: String,
        now: Duration,
    ): Double = (loadTime(server, adapter) + fetchCost(server, adapter) + evictionCost(server, now)).toDouble(DurationUnit.MILLISECONDS)

    /** The room for further loads of adapters that no engine holds. */
    fun capacity(now: Duration): LoadCapacity {
        val engines = fleet.servers.filter { it.isReady && fleet.engineOf(it) != null }
        val orderable = engines.filter { canOrder(it, now) }
        val withSlot = orderable.count { it.loadingCount(now) < options.loadsPerServer && hasSlot(it, now) }
        return LoadCapacity(inTransit(now), reservedCount(), concurrentLoads(engines.size), engines.size, orderable.size, withSlot)
    }

    private fun fetchCost(
        server: DispatchServer,
        adapter: String,
    ): Duration = if (server.isWarm(adapter)) Duration.ZERO else options.fetchPenalty

    private fun canOrder(
        server: DispatchServer,
        now: Duration,
    ): Boolean = server.ordersAccepted != null && now >= server.ordersPausedUntil

    private fun canLoad(
        server: DispatchServer,
        model: String?,
        adapter: String,
        now: Duration,
    ): Boolean {
        val current = server.adapterSlots[adapter] ?: return hasSlot(server, now)
        val isHeld = model != null && holdsVersion(server, adapter, fleet.currentVersion(model, adapter))
        return !isHeld && current.isIdle(now)
    }

    /** True if [server] has a free slot, or one whose adapter may be evicted. */
    private fun hasSlot(
        server: DispatchServer,
        now: Duration,
    ): Boolean {
        val slots = fleet.adapterCapacity(server) ?: return false
        return server.adapterSlots.size < slots || (server.adapterSlots.size == slots && server.evictionCandidate(now) != null)
    }

    /** Cost of evicting the least recently used idle adapter: lower the longer it has been unused, zero without an idle adapter. */
    private fun evictionCost(
        server: DispatchServer,
        now: Duration,
    ): Duration {
        val candidate = server.evictionCandidate(now) ?: return Duration.ZERO
        return (options.adapterLoad - (now - candidate.lastUsedAt) / EVICTION_AGE_FACTOR).coerceAtLeast(Duration.ZERO)
    }

    /**
     * True if the weight store may be asked for another adapter. Loads whose orders are late do not use the store yet, but all that no
     * engine has accepted are limited as well, so that a leader does not start more of them than it can finish.
     */
    private fun mayFetch(
        engines: Int,
        now: Duration,
    ): Boolean {
        val limit = concurrentLoads(engines)
        var counted = 0
        var reserved = 0
        // One pass, since each decision on an adapter that no engine holds asks for it.
        for (server in fleet.servers) {
            val slots = server.adapterSlots
            for (i in 0 until slots.size) {
                val slot = slots[i]
                if (slot.state == State.RESERVED) reserved++
                if (slot.isInTransit(now) || isOrdered(slot, now)) counted++
            }
        }
        return counted < limit && reserved < limit
    }

    /** True if the load of [slot] has not been accepted yet, but is expected to be at any moment. */
    private fun isOrdered(
        slot: AdapterSlot,
        now: Duration,
    ): Boolean = slot.state == State.RESERVED && now - slot.reservedAt <= LATE_ORDER

    /** Adapters on their way from the weight store. */
    private fun inTransit(now: Duration): Int = fleet.servers.sumOf { it.inTransitCount(now) }

    /** Adapters whose load has not been accepted yet. */
    private fun reservedCount(): Int = fleet.servers.sumOf { it.reservedCount() }

    private fun concurrentLoads(servers: Int): Int = maxOf(options.minConcurrentLoads, (servers * options.concurrentLoadsPerServer).toInt())

    fun loadTime(
        server: DispatchServer,
        adapter: String,
    ): Duration = if (server.isWarm(adapter)) options.warmAdapterLoad else fleet.adapterLoadTime.estimate

    /** Time until [adapter] can be used on [server]. */
    fun remainingLoad(
        server: DispatchServer,
        adapter: String,
        now: Duration,
    ): Duration {
        val slot = server.adapterSlots.getValue(adapter)
        return if (slot.state == State.RESERVED) fleet.adapterLoadTime.estimate else (slot.readyAt - now).coerceAtLeast(Duration.ZERO)
    }

    /** Reserves a slot on [server] for [adapter] and returns the order to load it. */
    fun reserve(
        server: DispatchServer,
        model: String,
        adapter: String,
        version: Long?,
        now: Duration,
    ): LoadOrder {
        val slots = fleet.adapterCapacity(server) ?: 0
        val current = server.adapterSlots[adapter]
        val evict = if (current == null && server.adapterSlots.size >= slots) server.evictionCandidate(now) else null
        evict?.state = State.LEAVING
        val slot = server.adapterSlots.getOrPut(adapter) { AdapterSlot(adapter, State.RESERVED, null, now, now) }
        slot.state = State.RESERVED
        slot.version = version
        slot.lastUsedAt = now
        slot.reservedAt = now
        return LoadOrder(server.report.id, server.report.address, model, adapter, version, evict?.adapter)
    }

    fun loadSteps(order: LoadOrder): LoadSteps? {
        val server = fleet[order.server] ?: return null
        val slots = fleet.adapterCapacity(server) ?: return null
        val orders = server.ordersAccepted ?: return null
        val evict = order.evict?.takeIf { it in server.adapterSlots }
        val others = server.occupiedSlots - (if (evict == null) 0 else 1)
        return if (others < slots && order.adapter in server.adapterSlots) LoadSteps(orders, evict) else null
    }

    fun recordEviction(
        order: LoadOrder,
        adapter: String,
        orders: Long,
    ) {
        val server = fleet[order.server] ?: return
        server.ordersAccepted = orders
        server.evict(adapter)
    }

    fun recordStarted(
        order: LoadOrder,
        orders: Long,
        now: Duration,
    ) {
        val server = fleet[order.server] ?: return
        val engineCount = fleet.servers.count { fleet.engineOf(it) != null }
        val slowdown = maxOf(1.0, (inTransit(now) + 1.0) / concurrentLoads(engineCount))
        val isWarm = server.isWarm(order.adapter)
        val time = if (isWarm) options.warmAdapterLoad else fleet.adapterLoadTime.estimate * slowdown
        server.ordersAccepted = orders
        val slot = server.adapterSlots.getOrPut(order.adapter) { AdapterSlot(order.adapter, State.LOADED, null, now, now) }
        slot.state = State.LOADED
        slot.version = order.version
        slot.readyAt = now + time + options.loadMargin
        slot.unconfirmedLoad = if (isWarm) null else AdapterLoadTime.Started(now, slowdown)
    }

    fun recordFailed(
        order: LoadOrder,
        now: Duration,
    ) {
        val server = fleet[order.server] ?: return
        server.ordersAccepted = null
        server.ordersPausedUntil = now + options.failedOrderPause
        if (server.adapterSlots[order.adapter]?.state == State.RESERVED) server.adapterSlots.remove(order.adapter)
        order.evict?.let { server.adapterSlots[it] }?.let { it.state = State.LOADED }
    }

    /** The next order to load a base model on an engine without one, or null if none is due. */
    fun nextModelOrder(now: Duration): ModelOrder? {
        if (!mayOrder) return null
        val server =
            fleet.servers.firstOrNull {
                it.isReady && !fleet.isEvacuated(it) && canOrder(it, now) && it.hasNoModel && fleet.engineOf(it) != null
            } ?: return null
        val engine = fleet.engineOf(server) ?: return null
        modelLoadTokens = minOf(1.0, modelLoadTokens + engine.loadsPerSecond * (now - modelLoadTokensAt).toDouble(DurationUnit.SECONDS))
        modelLoadTokensAt = now
        if (modelLoadTokens < 1.0) return null
        modelLoadTokens -= 1.0
        val fitting = engine.models.filter { it.weightsMb <= engine.weightsMb }
        val model =
            fitting.minByOrNull { profile -> fleet.servers.count { !fleet.isEvacuated(it) && it.holdsModel(profile.name) } } ?: return null
        server.isLoadingModel = true
        return ModelOrder(server.report.id, server.report.address, model.name, checkNotNull(server.ordersAccepted))
    }

    /** Records the outcome of [order]. If it was [accepted], the inventory is queried again after the load time of the model. */
    fun recordModelOrder(
        order: ModelOrder,
        accepted: Boolean,
        now: Duration,
    ) {
        val server = fleet[order.server] ?: return
        val time =
            fleet
                .engineOf(server)
                ?.models
                ?.firstOrNull { it.name == order.model }
                ?.loadTime ?: 1.seconds
        server.ordersAccepted = null
        server.isLoadingModel = accepted
        server.ordersPausedUntil = now + if (accepted) time else options.failedOrderPause
    }

    private companion object {
        /** Evicting an adapter that was unused for this many load times has no cost. */
        const val EVICTION_AGE_FACTOR = 8

        /** An engine answers an order within a few milliseconds; one that takes longer is held up at the leader or lost. */
        val LATE_ORDER = 100.milliseconds
    }
}
