package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Decides for all instances which server runs an adapter, what is loaded and what is evicted. Owned by the leader of the
 * replicated log; deterministic, without threads or clocks of its own.
 *
 * An adapter is evicted only when no instance holds a use lease on it and its server reports it idle. A new leader evicts
 * nothing until all leases given by the one before have run out.
 *
 * @param now monotonic time at which this leader took over
 * @param hasPredecessor false when there was no leader before, so there is nothing to wait out
 */
public class Placement(
    private val options: PlacementOptions,
    now: Duration,
    hasPredecessor: Boolean = true,
) : PlacementPolicy {
    private class Want(
        val adapter: AdapterVersion,
        val model: String,
        var wantedAt: Duration,
    ) {
        val demands = ArrayList<Pair<PlacementRequest, Duration>>()
    }

    private val servers = LinkedHashMap<String, ServerState>()
    private val wants = LinkedHashMap<AdapterVersion, Want>()
    private val loadsInFlight = HashMap<Pair<String, AdapterVersion>, Duration>()
    private val holders = HashMap<AdapterVersion, LinkedHashSet<ServerState>>()
    private val popularity = Popularity(options.popularityHalfLife)
    private val counters = VirtualTokenCounters()
    private val evictAfter = if (hasPredecessor) now + options.useLease else now
    private val settledAfter = if (hasPredecessor) now + SETTLING else now
    private var loadTokens = 1.0
    private var loadTokensAt = now
    private var meanService = INITIAL_SERVICE
    private var leases = 0L
    private var output = PlacementOutput()

    /** Adapters waiting to be loaded. */
    public val queuedLoads: Int get() = wants.size

    /** Names of the servers known. */
    public val serverNames: Set<String> get() = servers.keys.toSet()

    /** Adapter versions loaded on [server]. */
    public fun loadedOn(server: String): Set<AdapterVersion> = servers[server]?.loaded?.toSet().orEmpty()

    /** Takes in what a model engine says of itself. */
    override fun applyAnnouncement(
        announcement: Announcement,
        now: Duration,
    ): PlacementOutput =
        step {
            val known = servers[announcement.server]
            val restarted = known != null && known.announcement.incarnation != announcement.incarnation
            if (restarted) forget(known, now)
            val server = servers.getOrPut(announcement.server) { ServerState(announcement, now) }
            server.announcement = announcement
            server.heardAt = now
            reconcile(server, now)
            schedule(now)
        }

    /** Takes in the uses of [instance], which renews their leases. */
    override fun renewLeases(
        instance: String,
        uses: List<AdapterUse>,
        now: Duration,
    ): PlacementOutput =
        step {
            for (use in uses) {
                servers[use.server]?.renew(instance, use, now + options.useLease, ::nextLease)
                if (use.started > 0) popularity.use(use.adapter, now, use.started.toDouble())
            }
        }

    /** Takes in that [server] answered that it does not hold [adapter]. */
    public fun recordNotLoaded(
        server: String,
        adapter: AdapterVersion,
    ): PlacementOutput = step { servers[server]?.let { drop(it, adapter) } }

    /** Requests in flight from all instances, by server. */
    public fun inFlight(): Map<String, Int> = servers.mapValues { it.value.inFlight }

    /** Records how long a request took from first byte sent to last byte received. */
    override fun observeServiceTime(duration: Duration) {
        meanService = meanService * (1 - SERVICE_WEIGHT) + duration * SERVICE_WEIGHT
    }

    /** Places [request] now, queues it behind a load, or refuses it. */
    override fun place(
        request: PlacementRequest,
        now: Duration,
    ): PlacementOutput =
        step {
            popularity.use(request.adapter, now)
            counters.charge(request.workspace, request.tokens, now)
            val server = choose(request, now)
            when {
                server != null -> placeOn(server, request, Duration.ZERO, now)
                else -> enqueue(request, now)
            }
            schedule(now)
        }

    /** Takes in the result of a load. */
    override fun recordLoadResult(
        server: String,
        adapter: AdapterVersion,
        succeeded: Boolean,
        now: Duration,
    ): PlacementOutput =
        step {
            if (loadsInFlight.remove(server to adapter) != null) finishLoad(server, adapter, succeeded, now)
            schedule(now)
        }

    /** Lets time pass. */
    override fun tick(now: Duration): PlacementOutput =
        step {
            for (server in servers.values.toList()) {
                server.expire(now)
                if (now - server.heardAt > options.announcementTimeout) forget(server, now)
            }
            for ((load, startedAt) in loadsInFlight.toList()) {
                if (now - startedAt > options.loadTimeout) {
                    loadsInFlight.remove(load)
                    finishLoad(load.first, load.second, false, now)
                }
            }
            refuseLate(now)
            popularity.trim(now)
            schedule(now)
        }

    private inline fun step(action: () -> Unit): PlacementOutput {
        output = PlacementOutput()
        action()
        return output
    }

    private fun nextLease(): Long = ++leases

    private fun answer(
        request: PlacementRequest,
        decision: PlacementDecision,
    ) {
        output = output.copy(answers = output.answers + PlacementOutput.Answer(request, decision))
    }

    private fun choose(
        request: PlacementRequest,
        now: Duration,
    ): ServerState? {
        val candidates = holders[request.adapter].orEmpty().filter { accepts(it, request) }
        val best = candidates.minByOrNull { cost(it, request) } ?: return null
        val wait = queueWait(best, request)
        if (best.inFlight - best.announcement.batch >= options.copyQueue) wantCopy(request, now)
        return best.takeIf { now + wait <= request.deadline }
    }

    private fun accepts(
        server: ServerState,
        request: PlacementRequest,
    ): Boolean {
        val apart = server.suspects.keys.none { it != request.suspect }
        val mayRun = request.suspect == null || apart
        return !server.announcement.leaving && server.name !in request.exclude && mayRun
    }

    private fun cost(
        server: ServerState,
        request: PlacementRequest,
    ): Double {
        val away = if (request.zone != null && request.zone != server.announcement.zone) OTHER_ZONE_COST else 0.0
        return server.fill + away
    }

    /** Predicted wait for a place in the batch of [server]; workspaces that have had less than their share wait less. */
    private fun queueWait(
        server: ServerState,
        request: PlacementRequest,
    ): Duration {
        val queued = server.inFlight - server.announcement.batch + 1
        if (queued <= 0) return Duration.ZERO
        val perPlace = meanService / maxOf(1, server.announcement.batch)
        return perPlace * queued * counters.shareOf(request.workspace)
    }

    private fun placeOn(
        server: ServerState,
        request: PlacementRequest,
        stalled: Duration,
        now: Duration,
    ) {
        val lease = server.place(request.instance, request.adapter, now + options.useLease, ::nextLease)
        request.suspect?.let { server.suspects[it] = now + options.useLease }
        answer(request, PlacementDecision.Placed(server.name, lease, stalled.inWholeMilliseconds))
    }

    private fun enqueue(
        request: PlacementRequest,
        now: Duration,
    ) {
        val usable = servers.values.filter { it.announcement.serves == request.model && accepts(it, request) }
        val holds = holders[request.adapter].orEmpty().any { accepts(it, request) }
        when {
            usable.isEmpty() -> refuse(request, if (now < settledAfter) RefusalReason.STARTING else RefusalReason.NO_SERVER, NO_SERVER_RETRY)
            holds -> refuse(request, RefusalReason.OVERLOADED, meanService)
            else -> enqueueLoad(request, now)
        }
    }

    private fun enqueueLoad(
        request: PlacementRequest,
        now: Duration,
    ) {
        val want = wants.getOrPut(request.adapter) { Want(request.adapter, request.model, now) }
        want.wantedAt = now
        val wait = loadWait(want, now)
        if (now + wait > request.deadline) {
            refuse(request, RefusalReason.LOAD_TOO_SLOW, wait)
        } else {
            want.demands += request to now
        }
    }

    /** Predicted time until [want] is loaded, behind those that go first. */
    private fun loadWait(
        want: Want,
        now: Duration,
    ): Duration {
        if (isLoading(want.adapter)) return options.loadTime
        val ahead = wants.values.count { it !== want && it.demands.isNotEmpty() && !isLoading(it.adapter) }
        val credit = refilledLoadTokens(now)
        val paced = maxOf(0.0, ahead + 1 - credit) / options.loadsPerSecond
        return paced.seconds + options.loadTime
    }

    private fun isLoading(adapter: AdapterVersion) = loadsInFlight.keys.any { it.second == adapter }

    private fun refuse(
        request: PlacementRequest,
        reason: RefusalReason,
        retryAfter: Duration,
    ) {
        val after = retryAfter.coerceIn(MIN_RETRY, MAX_RETRY)
        answer(request, PlacementDecision.Refused(reason, after.inWholeMilliseconds))
    }

    private fun wantCopy(
        request: PlacementRequest,
        now: Duration,
    ) {
        wants.getOrPut(request.adapter) { Want(request.adapter, request.model, now) }.wantedAt = now
    }

    private fun refuseLate(now: Duration) {
        for (want in wants.values) {
            val late = want.demands.filter { now > it.first.deadline }
            want.demands.removeAll(late)
            for ((request, _) in late) refuse(request, RefusalReason.LOAD_TOO_SLOW, loadWait(want, now))
        }
        wants.values.removeAll { it.demands.isEmpty() && now - it.wantedAt > options.wantRetention }
    }

    private fun refilledLoadTokens(now: Duration): Double {
        loadTokens = minOf(LOAD_BURST, loadTokens + options.loadsPerSecond * (now - loadTokensAt).toDouble(DurationUnit.SECONDS))
        loadTokensAt = now
        return loadTokens
    }

    /** Starts loads while the weight store allows, most urgent first. */
    private fun schedule(now: Duration) {
        while (refilledLoadTokens(now) >= 1.0 && loadsInFlight.size < options.maxLoadsInFlight) {
            val target = nextLoad(now) ?: return
            startLoad(target.first, target.second, now)
        }
    }

    private fun nextLoad(now: Duration): Pair<Want, ServerState>? {
        val waiting = wants.values.filter { !isLoading(it.adapter) }
        val ordered = waiting.sortedWith(compareBy({ it.demands.isEmpty() }, ::urgency, { -popularity.of(it.adapter, now) }))
        return ordered.firstNotNullOfOrNull { want -> target(want, now)?.let { want to it } }
    }

    /** Workspaces that have had least go first, then the earliest deadline. */
    private fun urgency(want: Want): Double {
        val first = want.demands.minByOrNull { counters.shareOf(it.first.workspace) } ?: return Double.MAX_VALUE
        val deadline = want.demands.minOf { it.first.deadline }
        return deadline.toDouble(DurationUnit.SECONDS) + counters.shareOf(first.first.workspace) * FAIRNESS_SECONDS
    }

    private fun target(
        want: Want,
        now: Duration,
    ): ServerState? {
        val able =
            servers.values.filter { server ->
                val fits = server.announcement.serves == want.model && !server.announcement.leaving
                fits && want.adapter !in server.loaded && server.loading == null &&
                    (server.freeSlots > 0 || victim(server, want, now) != null)
            }
        return able.minByOrNull { server ->
            val evicted = if (server.freeSlots > 0) 0.0 else victim(server, want, now)?.let { popularity.of(it, now) } ?: 0.0
            server.fill + evicted * EVICTION_COST
        }
    }

    private fun victim(
        server: ServerState,
        want: Want,
        now: Duration,
    ): AdapterVersion? {
        if (now < evictAfter) return null
        val idle = server.loaded.filter { !server.isUsed(it) }
        val victim = idle.minByOrNull { popularity.of(it, now) / holders[it].orEmpty().size.coerceAtLeast(1) } ?: return null
        val needed = want.demands.isNotEmpty() || popularity.of(want.adapter, now) > popularity.of(victim, now) * EVICTION_MARGIN
        return victim.takeIf { needed }
    }

    private fun startLoad(
        want: Want,
        server: ServerState,
        now: Duration,
    ) {
        val evicted = if (server.freeSlots > 0) null else checkNotNull(victim(server, want, now))
        if (evicted != null) {
            check(!server.isUsed(evicted)) { "evicting $evicted, which is in use on ${server.name}" }
            drop(server, evicted)
        }
        loadTokens -= 1.0
        server.loading = want.adapter
        loadsInFlight[server.name to want.adapter] = now
        output = output.copy(orders = output.orders + Order.Load(server.name, want.adapter, evicted))
    }

    private fun finishLoad(
        serverName: String,
        adapter: AdapterVersion,
        succeeded: Boolean,
        now: Duration,
    ) {
        val server = servers[serverName]
        if (server?.loading == adapter) server.loading = null
        if (!succeeded || server == null) {
            failWaiting(adapter, now)
            return
        }
        hold(server, adapter, now)
        val want = wants.remove(adapter) ?: return
        for ((request, askedAt) in want.demands) {
            if (accepts(
                    server,
                    request,
                )
            ) {
                placeOn(server, request, now - askedAt, now)
            } else {
                refuse(request, RefusalReason.OVERLOADED, meanService)
            }
        }
    }

    /** A failed load is tried again while its callers can wait; those that cannot are told now. */
    private fun failWaiting(
        adapter: AdapterVersion,
        now: Duration,
    ) {
        val want = wants[adapter] ?: return
        val late = want.demands.filter { now + options.loadTime > it.first.deadline }
        want.demands.removeAll(late)
        for ((request, _) in late) refuse(request, RefusalReason.LOAD_FAILED, options.loadTime)
    }

    /** The server's own list counts, but for what it has not had time to report. */
    private fun reconcile(
        server: ServerState,
        now: Duration,
    ) {
        val reported = server.announcement.loaded.toSet()
        for (adapter in reported - server.loaded) if (server.loading != adapter && server.freeSlots > 0) hold(server, adapter, now)
        val missing = server.heldSince.filter { (adapter, since) -> adapter !in reported && now - since > REPORT_LAG }.keys
        for (adapter in missing) drop(server, adapter)
    }

    private fun hold(
        server: ServerState,
        adapter: AdapterVersion,
        now: Duration,
    ) {
        server.heldSince[adapter] = now
        holders.getOrPut(adapter) { LinkedHashSet() } += server
    }

    private fun drop(
        server: ServerState,
        adapter: AdapterVersion,
    ) {
        server.heldSince -= adapter
        val set = holders[adapter] ?: return
        set -= server
        if (set.isEmpty()) holders -= adapter
    }

    private fun forget(
        server: ServerState,
        now: Duration,
    ) {
        for (adapter in server.loaded.toList()) drop(server, adapter)
        servers -= server.name
        output = output.copy(lostServers = output.lostServers + server.name)
        val loading = server.loading ?: return
        loadsInFlight.remove(server.name to loading)
        failWaiting(loading, now)
    }

    private companion object {
        val SETTLING = 2.seconds
        val REPORT_LAG = 2.seconds
        val INITIAL_SERVICE = 1.seconds
        val NO_SERVER_RETRY = 1.seconds
        val MIN_RETRY = 50.milliseconds
        val MAX_RETRY = 30.seconds
        const val SERVICE_WEIGHT = 0.05
        const val OTHER_ZONE_COST = 0.1
        const val LOAD_BURST = 2.0
        const val FAIRNESS_SECONDS = 1.0
        const val EVICTION_COST = 0.05
        const val EVICTION_MARGIN = 2.0
    }
}
