package anvilslip.policy

import anvilslip.policy.AdapterSlot.State
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** State of one backend server known to the [Dispatcher]: its loaded models and adapters, and the requests sent to it. */
internal class DispatchServer(
    report: ServerReport,
    private val options: DispatchOptions,
    val performance: EnginePerformance,
) {
    /** The last report of the server. */
    var report: ServerReport = report
        set(value) {
            val isChanged = value.models != field.models
            field = value
            if (!isChanged) return
            reportedModels = namesOf(value)
            capacityProfile = null
        }
    private var reportedModels = namesOf(report)
    val adapterSlots = AdapterSlots()
    private val recentlyEvicted = LinkedHashSet<String>()

    /** Requests sent to the server that have not ended. */
    var runningRequests = 0

    /** Those of [runningRequests] that are suspected of crashing servers. */
    var runningSuspects = 0

    /** Prompt tokens sent to the server that it has not processed yet. */
    val pendingPromptTokens = PendingTokens()

    /** Number of requests whose prompt tokens are in [pendingPromptTokens]. */
    var pendingPrompts = 0

    /** Time since which the server has worked on the first of its pending prompts. */
    var promptStartedAt = Duration.ZERO

    /** KV cache tokens that running requests use, or are expected to use when they end. */
    var kvTokens = 0

    /** Number of orders that the server has accepted; null until its inventory is known. */
    var ordersAccepted: Long? = null
    var avoidedUntil = Duration.ZERO
    var ordersPausedUntil = Duration.ZERO
    var isLoadingModel = false

    val isReady: Boolean get() = report.phase == ServerPhase.READY

    /** Models in the last inventory; needed because heartbeat reports lag behind. */
    private var inventoryModels = emptySet<String>()
        set(value) {
            field = value
            capacityProfile = null
        }

    /** The profile that [capacity] is computed from; null if it has to be computed again. */
    private var capacityProfile: EngineProfile? = null
    private var capacity = 0

    /** Number of adapters that the server, an engine of [profile], may hold beside its models. */
    fun adapterCapacity(profile: EngineProfile): Int {
        if (capacityProfile !== profile) {
            capacity = profile.adapterCapacity(inventoryModels + reportedModels)
            capacityProfile = profile
        }
        return capacity
    }

    /** True if the server is known to hold no model and none is being loaded. */
    val hasNoModel: Boolean get() = !isLoadingModel && report.models?.isEmpty() == true && inventoryModels.isEmpty()

    fun holdsModel(model: String): Boolean = model in inventoryModels || model in reportedModels

    private fun namesOf(report: ServerReport): Set<String> = report.models.orEmpty().mapTo(HashSet()) { it.name }

    /** Expected time until the server starts a request of [priority]; engines start more urgent requests first. */
    fun expectedWait(
        now: Duration,
        priority: Int = PendingTokens.LEAST_URGENT,
    ): Duration = performance.expectedTime(remainingPromptTokens(now, priority), runningRequests)

    /** Expected milliseconds until the server has processed a prompt of [tokens] after the work of [priority] and more urgent ahead of it. */
    fun expectedAnswerMillis(
        now: Duration,
        priority: Int,
        tokens: Int,
    ): Double =
        performance.expectedMillis(remainingPromptTokens(now, priority), runningRequests) + performance.expectedMillis(tokens.toDouble(), 0)

    /** Expected time for a prompt of [tokens] on an idle engine. */
    fun promptTime(tokens: Int): Duration = performance.expectedTime(tokens.toDouble(), 0)

    /**
     * Pending prompt tokens of [priority] and more urgent ones, without those of the current prompt that have been processed since
     * [promptStartedAt].
     */
    fun remainingPromptTokens(
        now: Duration,
        priority: Int,
    ): Double {
        val pending = pendingPromptTokens.upTo(priority).toDouble()
        if (pendingPrompts == 0 || now <= promptStartedAt) return pending
        val processed = (now - promptStartedAt).toDouble(DurationUnit.MILLISECONDS) * performance.speed
        val meanPrompt = pendingPromptTokens.total.toDouble() / pendingPrompts
        return (pending - minOf(processed, meanPrompt * MAX_PROGRESS)).coerceAtLeast(0.0)
    }

    /** Rounds of requests until a plain server answers a further request: one, and those of the queue ahead of it. */
    val plainWork: Double get() = 1 + maxOf(0, runningRequests - report.slots + 1).toDouble() / report.slots

    fun isWarm(adapter: String): Boolean = adapter in recentlyEvicted

    fun loadingCount(now: Duration): Int = adapterSlots.count { it.isLoading(now) }

    /** Adapters that the server is loading. */
    fun inTransitCount(now: Duration): Int = adapterSlots.count { it.isInTransit(now) }

    /** Adapters whose load the server has not accepted yet. */
    fun reservedCount(): Int = adapterSlots.count { it.state == State.RESERVED }

    /** The least recently used idle adapter, or null if all adapters are in use. */
    fun evictionCandidate(now: Duration): AdapterSlot? {
        var oldest: AdapterSlot? = null
        for (i in 0 until adapterSlots.size) {
            val slot = adapterSlots[i]
            if (slot.isIdle(now) && (oldest == null || slot.lastUsedAt < oldest.lastUsedAt)) oldest = slot
        }
        return oldest
    }

    fun evict(adapter: String) {
        adapterSlots.remove(adapter)
        recentlyEvicted.remove(adapter)
        recentlyEvicted += adapter
        while (recentlyEvicted.size > options.warmAdapters) recentlyEvicted.remove(recentlyEvicted.first())
    }

    /** Applies the inventory that the server returned. Request counts of adapters that remain are kept. */
    fun applyInventory(
        inventory: EngineInventory,
        now: Duration,
    ) {
        ordersAccepted = inventory.orders
        val held = inventory.models.flatMap { it.adapters.entries }.associate { it.key to it.value }
        val pending =
            inventory.pending.values
                .flatten()
                .toSet() - held.keys
        adapterSlots.removeAll { it.state != State.RESERVED && it.adapter !in held && it.adapter !in pending }
        for ((adapter, version) in held) recordAdapter(adapter, version, now, now)
        for (adapter in pending) recordAdapter(adapter, null, now + options.adapterLoad, now)
        inventoryModels = inventory.models.map { it.name }.toSet()
        isLoadingModel = false
    }

    /** Records the adapters listed in [initial] as loaded until the inventory of the server is known. */
    fun assumeLoaded(
        initial: ServerReport,
        now: Duration,
    ) {
        for (model in initial.models.orEmpty()) for ((adapter, version) in model.adapters) recordAdapter(adapter, version, now, now)
    }

    private fun recordAdapter(
        adapter: String,
        version: Long?,
        readyAt: Duration,
        now: Duration,
    ) {
        val slot = adapterSlots.getOrPut(adapter) { AdapterSlot(adapter, State.LOADED, version, readyAt, now) }
        if (slot.state == State.RESERVED) slot.state = State.LOADED
        slot.version = version ?: slot.version
        slot.readyAt = minOf(slot.readyAt, readyAt)
    }

    /** Adapter slots in use on the server, without reservations that have not been ordered yet. */
    val occupiedSlots: Int get() = adapterSlots.count { it.state != State.RESERVED }

    /** Discards the state of the previous process after a restart of the server. */
    fun reset(next: ServerReport) {
        report = next
        adapterSlots.clear()
        recentlyEvicted.clear()
        ordersAccepted = null
        inventoryModels = emptySet()
        isLoadingModel = false
        performance.restart()
    }

    private companion object {
        /** Largest share of the current prompt that is assumed to be processed before its answer begins. */
        const val MAX_PROGRESS = 0.8
    }
}
