package anvilslip.policy

import anvilslip.policy.AdapterSlot.State
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One backend server as the [Dispatcher] sees it: what it holds and what has been sent to it. */
internal class DispatchServer(
    var report: ServerReport,
    private val options: DispatchOptions,
) {
    val places = LinkedHashMap<String, AdapterSlot>()
    private val dropped = LinkedHashSet<String>()

    /** Requests sent that have not ended. */
    var running = 0

    /** Prompt tokens sent that have not been read. */
    var unread = 0

    /** Tokens of memory that running requests take. */
    var memory = 0

    /** Orders the server has taken; null until it was asked. */
    var orders: Long? = null
    var avoidedUntil = Duration.ZERO
    var ordersPausedUntil = Duration.ZERO
    var isLoadingModel = false
    var lastAnswer = Duration.ZERO

    val isReady: Boolean get() = report.phase == ServerPhase.READY

    /** Models it held when it was asked; its reports of them come late. */
    private var surveyedModels = emptySet<String>()

    /** True when it is known to hold no model and none is on its way. */
    val isEmpty: Boolean get() = !isLoadingModel && report.models?.isEmpty() == true && surveyedModels.isEmpty()

    fun holds(model: String): Boolean = model in surveyedModels || report.models.orEmpty().any { it.name == model }

    fun wait(tokensPerMillisecond: Double): Duration = (unread / tokensPerMillisecond + running * BATCH_MILLIS).milliseconds

    fun isWarm(adapter: String): Boolean = adapter in dropped

    fun loading(now: Duration): Int = places.values.count { it.isLoading(now) }

    /** The adapter to drop for another one: the idle one that was used longest ago; null when all are in use. */
    fun victim(now: Duration): AdapterSlot? = places.values.filter { it.isIdle(now) }.minByOrNull { it.lastUse }

    fun drop(adapter: String) {
        places.remove(adapter)
        dropped.remove(adapter)
        dropped += adapter
        while (dropped.size > options.warmAdapters) dropped.remove(dropped.first())
    }

    /** Takes over what the server says it holds, keeping counts of requests under way. */
    fun survey(
        survey: EngineInventory,
        now: Duration,
    ) {
        orders = survey.orders
        val held = survey.models.flatMap { it.adapters.entries }.associate { it.key to it.value }
        val pending =
            survey.pending.values
                .flatten()
                .toSet() - held.keys
        places.values.removeAll { it.state != State.RESERVED && it.adapter !in held && it.adapter !in pending }
        for ((adapter, version) in held) keep(adapter, version, now, now)
        for (adapter in pending) keep(adapter, null, now + options.adapterLoad, now)
        surveyedModels = survey.models.map { it.name }.toSet()
        isLoadingModel = false
    }

    /** Takes what [said] lists as held, until the server is asked. */
    fun assume(
        said: ServerReport,
        now: Duration,
    ) {
        for (model in said.models.orEmpty()) for ((adapter, version) in model.adapters) keep(adapter, version, now, now)
    }

    private fun keep(
        adapter: String,
        version: Long?,
        readyAt: Duration,
        now: Duration,
    ) {
        val place = places.getOrPut(adapter) { AdapterSlot(adapter, State.LOADED, version, readyAt, now) }
        if (place.state == State.RESERVED) place.state = State.LOADED
        place.version = version ?: place.version
        place.readyAt = minOf(place.readyAt, readyAt)
    }

    /** Adapters that take a place on the server itself. */
    val taken: Int get() = places.values.count { it.state != State.RESERVED }

    /** The process was replaced by one that knows nothing of before. */
    fun restart(next: ServerReport) {
        report = next
        places.clear()
        dropped.clear()
        orders = null
        surveyedModels = emptySet()
        isLoadingModel = false
    }

    private companion object {
        /** What a running request adds to the time of each step, spread over a prompt. */
        const val BATCH_MILLIS = 0.5
    }
}
