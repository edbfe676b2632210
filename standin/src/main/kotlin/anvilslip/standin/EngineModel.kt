package anvilslip.standin

import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulates a model engine in virtual time, with chunked prefill, continuous batching, a prefix cache and adapter slots.
 * Not thread-safe.
 */
public class EngineModel(
    public val name: String,
    public val zone: String,
    private val options: EngineModelOptions,
    private val store: WeightStoreModel,
    private val time: VirtualTime,
    /** Speed of the engine in the course of time. */
    public val profile: SpeedProfile = SpeedProfile(),
) {
    private val waiting = ArrayDeque<EngineRun>()
    private val prefilling = ArrayDeque<EngineRun>()
    private val decoding = ArrayList<EngineRun>()
    private val promptCache = LinkedHashMap<String, Int>()
    private val loaded = LinkedHashSet<String>()
    private val loading = LinkedHashSet<String>()
    private val warmCache = LinkedHashSet<String>()
    private var incarnation = 0
    private var isStepScheduled = false

    /** Requests a second that the engine says it takes from all entry instances together; null if it names no limit. */
    public var limit: Double? = null

    /** Prompt tokens prefilled since construction, over all restarts; cached tokens are not counted. */
    public var prefilledTokens: Long = 0
        private set

    /** Load and evict orders received since the last start. */
    public var ordersReceived: Long = 0
        private set

    /** Adapters that are loaded. */
    public val adapters: Set<String> get() = loaded.toSet()

    /** Adapters that are being loaded. */
    public val pending: Set<String> get() = loading.toSet()

    /** Queues [run]; returns false if its adapter is not loaded. */
    public fun submit(run: EngineRun): Boolean {
        if (run.adapter != null && run.adapter !in loaded) return false
        insertByPriority(waiting, run)
        scheduleStep()
        return true
    }

    /** Starts to load [adapter]; fails if all adapter slots are occupied. */
    public fun load(adapter: String) {
        ordersReceived++
        check(loaded.size + loading.size < options.adapterSlots) { "$name has no free adapter slot for $adapter" }
        loading += adapter
        val startedIncarnation = incarnation
        val isWarm = warmCache.remove(adapter)
        val duration = if (isWarm) options.warmAdapterLoadTime else options.adapterLoadTime * store.beginLoad()
        time.at(time.now + duration) {
            if (!isWarm) store.endLoad()
            if (startedIncarnation == incarnation && loading.remove(adapter)) loaded += adapter
        }
    }

    /** Evicts [adapter]; returns false if it is not loaded or a queued or active run uses it. */
    public fun evict(adapter: String): Boolean {
        ordersReceived++
        if ((waiting + prefilling + decoding).any { it.adapter == adapter }) return false
        if (!loaded.remove(adapter)) return false
        warmCache += adapter
        while (warmCache.size > options.warmAdapters) warmCache.remove(warmCache.first())
        promptCache.keys.removeAll { it.startsWith("$adapter/") }
        return true
    }

    /** Restarts the engine; all requests, adapters and cached prompts are lost. */
    public fun restart() {
        incarnation++
        ordersReceived = 0
        listOf(waiting, prefilling, decoding, promptCache.keys, loaded, loading, warmCache).forEach { it.clear() }
        isStepScheduled = false
    }

    private fun scheduleStep() {
        if (isStepScheduled) return
        fillBatch()
        if (prefilling.isEmpty() && decoding.isEmpty()) return
        isStepScheduled = true
        val tokens = prefill()
        val decodeTime = options.stepTime + options.stepTimePerRequest * decoding.size
        val duration = (tokens / options.prefillTokensPerMillisecond).milliseconds + if (decoding.isEmpty()) PREFILL_STEP else decodeTime
        val startedIncarnation = incarnation
        time.at(time.now + duration / profile.speedAt(time.now)) { if (startedIncarnation == incarnation) endStep() }
    }

    /** Moves queued requests into the batch while batch slots and KV memory are free. */
    private fun fillBatch() {
        while (waiting.isNotEmpty() && prefilling.size + decoding.size < options.slots) {
            val used = (prefilling + decoding).sumOf { it.kvTokens }
            if (used > 0 && used + waiting.first().kvTokens > options.kvCapacityTokens) return
            val run = waiting.removeFirst()
            run.tokensToPrefill = run.promptTokens - cachedPromptTokens(run)
            insertByPriority(prefilling, run)
        }
    }

    private fun insertByPriority(
        runs: ArrayDeque<EngineRun>,
        run: EngineRun,
    ) = runs.add(runs.indexOfLast { it.priority <= run.priority } + 1, run)

    private fun cacheKey(
        run: EngineRun,
        part: String,
    ) = "${run.adapter}/$part"

    private fun cachedPromptTokens(run: EngineRun): Int = run.parts.takeWhile { cacheKey(run, it.first) in promptCache }.sumOf { it.second }

    /** Prefills up to one chunk of prompt tokens in queue order; returns the number of tokens. */
    private fun prefill(): Int {
        var remaining = options.prefillChunk
        for (run in prefilling) {
            val prefilled = minOf(remaining, run.tokensToPrefill)
            run.tokensToPrefill -= prefilled
            remaining -= prefilled
            if (remaining == 0) break
        }
        prefilledTokens += options.prefillChunk - remaining
        return options.prefillChunk - remaining
    }

    private fun endStep() {
        isStepScheduled = false
        for (run in decoding) run.generatedTokens++
        val ready = prefilling.filter { it.tokensToPrefill == 0 }
        prefilling.removeAll(ready)
        for (run in ready) {
            run.generatedTokens = 1
            cachePrompt(run)
            run.onFirstToken()
        }
        decoding += ready
        val ended = decoding.filter { it.generatedTokens >= it.outputTokens }
        decoding.removeAll(ended)
        ended.forEach { it.onCompleted() }
        scheduleStep()
    }

    private fun cachePrompt(run: EngineRun) {
        for ((part, tokens) in run.parts) {
            val cacheKey = cacheKey(run, part)
            promptCache.remove(cacheKey)
            promptCache[cacheKey] = tokens
        }
        var total = promptCache.values.sum()
        val room = options.kvCapacityTokens - (prefilling + decoding).sumOf { it.kvTokens }
        while (total > room && promptCache.isNotEmpty()) total -= promptCache.remove(promptCache.keys.first()) ?: 0
    }

    private companion object {
        /** Fixed part of a step without any decoding request. */
        val PREFILL_STEP = 1.milliseconds
    }
}
