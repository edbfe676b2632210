package anvilslip.policy

import anvilslip.policy.AdapterSlot.State
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** State of one backend server known to the [Dispatcher]: its loaded models and adapters, and the requests sent to it. */
internal class DispatchServer(
    var report: ServerReport,
    private val options: DispatchOptions,
) {
    val adapterSlots = LinkedHashMap<String, AdapterSlot>()
    private val recentlyEvicted = LinkedHashSet<String>()

    /** Requests sent to the server that have not ended. */
    var runningRequests = 0

    /** Those of [runningRequests] that are suspected of crashing servers. */
    var runningSuspects = 0

    /** Prompt tokens sent to the server that it has not processed yet. */
    val pendingPromptTokens = PendingTokens()

    /** KV cache tokens that running requests use, or are expected to use when they end. */
    var kvTokens = 0

    /** Number of orders that the server has accepted; null until its inventory is known. */
    var ordersAccepted: Long? = null
    var avoidedUntil = Duration.ZERO
    var ordersPausedUntil = Duration.ZERO
    var isLoadingModel = false
    var lastAnswerAt = Duration.ZERO

    val isReady: Boolean get() = report.phase == ServerPhase.READY

    /** Models in the last inventory; needed because heartbeat reports lag behind. */
    private var inventoryModels = emptySet<String>()

    /** True if the server is known to hold no model and none is being loaded. */
    val hasNoModel: Boolean get() = !isLoadingModel && report.models?.isEmpty() == true && inventoryModels.isEmpty()

    fun holdsModel(model: String): Boolean = model in inventoryModels || report.models.orEmpty().any { it.name == model }

    /** Expected time until the server starts a request of [priority]; engines start more urgent requests first. */
    fun expectedWait(
        tokensPerMillisecond: Double,
        priority: Int,
    ): Duration =
        (
            pendingPromptTokens.upTo(priority) / tokensPerMillisecond +
                runningRequests * MILLIS_PER_RUNNING_REQUEST
        ).milliseconds

    fun isWarm(adapter: String): Boolean = adapter in recentlyEvicted

    fun loadingCount(now: Duration): Int = adapterSlots.values.count { it.isLoading(now) }

    /** The least recently used idle adapter, or null if all adapters are in use. */
    fun evictionCandidate(now: Duration): AdapterSlot? = adapterSlots.values.filter { it.isIdle(now) }.minByOrNull { it.lastUsedAt }

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
        adapterSlots.values.removeAll { it.state != State.RESERVED && it.adapter !in held && it.adapter !in pending }
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
    val occupiedSlots: Int get() = adapterSlots.values.count { it.state != State.RESERVED }

    /** Discards the state of the previous process after a restart of the server. */
    fun reset(next: ServerReport) {
        report = next
        adapterSlots.clear()
        recentlyEvicted.clear()
        ordersAccepted = null
        inventoryModels = emptySet()
        isLoadingModel = false
    }

    private companion object {
        /** Time in milliseconds that one running request adds to the prefill of a prompt, since it makes each batch step longer. */
        const val MILLIS_PER_RUNNING_REQUEST = 0.5
    }
}
