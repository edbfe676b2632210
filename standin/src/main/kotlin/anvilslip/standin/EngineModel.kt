package anvilslip.standin

import kotlin.time.Duration.Companion.milliseconds

/**
 * A model engine in virtual time: reads prompts in chunks between the tokens of other answers, keeps prompt parts, and holds
 * adapters. Single-threaded.
 */
public class EngineModel(
    public val name: String,
    public val zone: String,
    private val options: EngineModelOptions,
    private val store: WeightStoreModel,
    private val time: VirtualTime,
) {
    private val waiting = ArrayDeque<EngineRun>()
    private val reading = ArrayDeque<EngineRun>()
    private val answering = ArrayList<EngineRun>()
    private val kept = LinkedHashMap<String, Int>()
    private val held = LinkedHashSet<String>()
    private val coming = LinkedHashSet<String>()
    private val warm = LinkedHashSet<String>()
    private var incarnation = 0
    private var stepping = false

    /** Prompt tokens read since the start. */
    public var tokensRead: Long = 0
        private set

    /** Orders taken since it started. */
    public var orders: Long = 0
        private set

    /** Adapters that can be used now. */
    public val adapters: Set<String> get() = held.toSet()

    /** Adapters on their way here. */
    public val pending: Set<String> get() = coming.toSet()

    /** Takes [run] in; false when its adapter is not here. */
    public fun submit(run: EngineRun): Boolean {
        if (run.adapter != null && run.adapter !in held) return false
        waiting += run
        proceed()
        return true
    }

    /** Begins to load [adapter]. */
    public fun load(adapter: String) {
        orders++
        check(held.size + coming.size < options.adapterPlaces) { "$name has no place for $adapter" }
        coming += adapter
        val born = incarnation
        val isWarm = warm.remove(adapter)
        val takes = if (isWarm) options.warmAdapterLoad else options.adapterLoad * store.begin()
        time.at(time.now + takes) {
            if (!isWarm) store.end()
            if (born == incarnation && coming.remove(adapter)) held += adapter
        }
    }

    /** Drops [adapter]; false when a request still uses it. */
    public fun drop(adapter: String): Boolean {
        orders++
        if ((waiting + reading + answering).any { it.adapter == adapter }) return false
        if (!held.remove(adapter)) return false
        warm += adapter
        while (warm.size > options.warmAdapters) warm.remove(warm.first())
        kept.keys.removeAll { it.startsWith("$adapter/") }
        return true
    }

    /** Ends at once and starts again without anything. */
    public fun restart() {
        incarnation++
        orders = 0
        listOf(waiting, reading, answering, kept.keys, held, coming, warm).forEach { it.clear() }
        stepping = false
    }

    private fun proceed() {
        if (stepping) return
        begin()
        if (reading.isEmpty() && answering.isEmpty()) return
        stepping = true
        val budget = read()
        val steps = options.step + options.stepPerRequest * answering.size
        val takes = (budget / options.promptTokensPerMillisecond).milliseconds + if (answering.isEmpty()) SHORT_STEP else steps
        val born = incarnation
        time.at(time.now + takes) { if (born == incarnation) endStep() }
    }

    /** Moves requests from the queue into the batch. */
    private fun begin() {
        while (waiting.isNotEmpty() && reading.size + answering.size < options.slots) {
            val used = (reading + answering).sumOf { it.memory }
            if (used > 0 && used + waiting.first().memory > options.memoryTokens) return
            val run = waiting.removeFirst()
            run.unread = run.promptTokens - keptTokens(run)
            reading += run
        }
    }

    private fun key(
        run: EngineRun,
        part: String,
    ) = "${run.adapter}/$part"

    private fun keptTokens(run: EngineRun): Int = run.parts.takeWhile { key(run, it.first) in kept }.sumOf { it.second }

    /** Reads up to a chunk of the prompts at the head; returns the tokens read. */
    private fun read(): Int {
        var left = options.chunk
        for (run in reading) {
            val taken = minOf(left, run.unread)
            run.unread -= taken
            left -= taken
            if (left == 0) break
        }
        tokensRead += options.chunk - left
        return options.chunk - left
    }

    private fun endStep() {
        stepping = false
        for (run in answering) run.made++
        val ready = reading.filter { it.unread == 0 }
        reading.removeAll(ready)
        for (run in ready) {
            run.made = 1
            keep(run)
            run.onFirst()
        }
        answering += ready
        val ended = answering.filter { it.made >= it.outputTokens }
        answering.removeAll(ended)
        ended.forEach { it.onEnd() }
        proceed()
    }

    private fun keep(run: EngineRun) {
        for ((part, tokens) in run.parts) {
            val key = key(run, part)
            kept.remove(key)
            kept[key] = tokens
        }
        var total = kept.values.sum()
        val room = options.memoryTokens - (reading + answering).sumOf { it.memory }
        while (total > room && kept.isNotEmpty()) total -= kept.remove(kept.keys.first()) ?: 0
    }

    private companion object {
        /** A step in which no request gets a token. */
        val SHORT_STEP = 1.milliseconds
    }
}
