package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Loads of adapter versions that are requested or in progress. Starts them no faster than the weight store allows. */
internal class LoadQueue(
    private val options: PlacementOptions,
    private val counters: VirtualTokenCounters,
    private val popularity: Popularity,
    now: Duration,
) {
    private val loads = LinkedHashMap<AdapterVersion, PendingLoad>()
    private val startedAt = HashMap<Pair<String, AdapterVersion>, Duration>()
    private var startTokens = 1.0
    private var refilledAt = now

    /** Number of loads that have not finished. */
    val size: Int get() = loads.size

    /** Loads that have not finished, in the order of their first request. */
    val pending: Collection<PendingLoad> get() = loads.values

    operator fun get(adapter: AdapterVersion): PendingLoad? = loads[adapter]

    /** Requests a load of the adapter of [request], unless it is pending already. */
    fun request(
        request: PlacementRequest,
        now: Duration,
    ): PendingLoad {
        val load = loads.getOrPut(request.adapter) { PendingLoad(request.adapter, request.model, now) }
        load.requestedAt = now
        return load
    }

    fun remove(adapter: AdapterVersion): PendingLoad? = loads.remove(adapter)

    /** Removes the loads that no request waits for and that were not requested lately. */
    fun removeUnneeded(now: Duration) {
        loads.values.removeAll { it.waiting.isEmpty() && now - it.requestedAt > options.pendingLoadRetention }
    }

    /** Estimated time until [load] finishes, behind the loads queued ahead of it. */
    fun waitFor(
        load: PendingLoad,
        now: Duration,
    ): Duration {
        if (isInProgress(load.adapter)) return options.loadTime
        val ahead = loads.values.count { it !== load && it.waiting.isNotEmpty() && !isInProgress(it.adapter) }
        val queueDelay = maxOf(0.0, ahead + 1 - refilledStartTokens(now)) / options.loadsPerSecond
        return queueDelay.seconds + options.loadTime
    }

    /** Returns true if the weight store allows another load to start now. */
    fun mayStart(now: Duration): Boolean = refilledStartTokens(now) >= 1.0 && startedAt.size < options.maxLoadsInFlight

    /** Loads not in progress, most urgent first. */
    fun byUrgency(now: Duration): List<PendingLoad> =
        loads.values
            .filter { !isInProgress(it.adapter) }
            .sortedWith(compareBy({ it.waiting.isEmpty() }, ::urgency, { -popularity.scoreOf(it.adapter, now) }))

    /** Records that [server] began to load [adapter]. */
    fun start(
        server: String,
        adapter: AdapterVersion,
        now: Duration,
    ) {
        startTokens -= 1.0
        startedAt[server to adapter] = now
    }

    /** Records that a load of [adapter] on [server] ended. Returns false if none was in progress. */
    fun finish(
        server: String,
        adapter: AdapterVersion,
    ): Boolean = startedAt.remove(server to adapter) != null

    /** Removes the loads in progress that take too long, and returns their servers and adapters. */
    fun removeTimedOut(now: Duration): Set<Pair<String, AdapterVersion>> {
        val timedOut = startedAt.filterValues { now - it > options.loadTimeout }.keys
        startedAt -= timedOut
        return timedOut
    }

    private fun isInProgress(adapter: AdapterVersion) = startedAt.keys.any { it.second == adapter }

    private fun refilledStartTokens(now: Duration): Double {
        val refilled = startTokens + options.loadsPerSecond * (now - refilledAt).toDouble(DurationUnit.SECONDS)
        startTokens = minOf(START_BURST, refilled)
        refilledAt = now
        return startTokens
    }

    /** Sort key of a load: its earliest deadline plus a delay proportional to the lowest usage share of its waiting workspaces. */
    private fun urgency(load: PendingLoad): Double {
        val first = load.waiting.minByOrNull { counters.shareOf(it.first.workspace) } ?: return Double.MAX_VALUE
        val deadline = load.waiting.minOf { it.first.deadline }
        return deadline.toDouble(DurationUnit.SECONDS) + counters.shareOf(first.first.workspace) * FAIRNESS_SECONDS
    }

    private companion object {
        const val START_BURST = 2.0
        const val FAIRNESS_SECONDS = 1.0
    }
}
