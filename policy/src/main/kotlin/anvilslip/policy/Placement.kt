package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Selects the server for each adapter request of all instances, and decides which adapters to load and evict. Runs on the leader
 * of the replicated log. Deterministic: uses no threads or clocks of its own.
 *
 * An adapter is evicted only if no instance holds a use lease on it and its server reports it idle. A new leader evicts nothing
 * until all leases granted by its predecessor have expired.
 *
 * @param now monotonic time at which this leader was elected
 * @param hasPredecessor false if no leader preceded this one, so that there are no leases to wait for
 */
public class Placement(
    private val options: PlacementOptions,
    now: Duration,
    hasPredecessor: Boolean = true,
) : PlacementPolicy {
    private val servers = LinkedHashMap<String, ServerState>()
    private val holders = AdapterHolders()
    private val popularity = Popularity(options.popularityHalfLife)
    private val counters = VirtualTokenCounters()
    private val loads = LoadQueue(options, counters, popularity, now)
    private val evictionAllowedAt = if (hasPredecessor) now + options.useLease else now
    private val settledAt = if (hasPredecessor) now + SETTLING_TIME else now
    private var meanServiceTime = INITIAL_SERVICE_TIME
    private var leases = 0L
    private var output = PlacementOutput()

    /** Number of adapters waiting to be loaded. */
    public val queuedLoads: Int get() = loads.size

    /** Names of the known servers. */
    public val serverNames: Set<String> get() = servers.keys.toSet()

    /** Adapter versions loaded on [server]. */
    public fun loadedOn(server: String): Set<AdapterVersion> = servers[server]?.loaded?.toSet().orEmpty()

    /** Applies the announcement of a model engine. */
    override fun applyAnnouncement(
        announcement: Announcement,
        now: Duration,
    ): PlacementOutput =
        step {
            val known = servers[announcement.server]
            val restarted = known != null && known.announcement.incarnation != announcement.incarnation
            if (restarted) removeServer(known, now)
            val server = servers.getOrPut(announcement.server) { ServerState(announcement, now) }
            server.announcement = announcement
            server.lastAnnouncedAt = now
            reconcile(server, now)
            schedule(now)
        }

    /** Renews the use leases of [instance] from the [uses] that it reports. */
    override fun renewLeases(
        instance: String,
        uses: List<AdapterUse>,
        now: Duration,
    ): PlacementOutput =
        step {
            for (use in uses) {
                servers[use.server]?.renew(instance, use, now + options.useLease, ::nextLease)
                if (use.started > 0) popularity.recordUse(use.adapter, now, use.started.toDouble())
            }
        }

    /** Records that [server] rejected a request because [adapter] is not loaded there. */
    public fun recordNotLoaded(
        server: String,
        adapter: AdapterVersion,
    ): PlacementOutput = step { servers[server]?.let { holders.remove(it, adapter) } }

    /** Requests in flight from all instances, by server. */
    public fun inFlight(): Map<String, Int> = servers.mapValues { it.value.inFlight }

    /** Records the service time of a request, from the first byte sent to the last byte received. */
    override fun observeServiceTime(duration: Duration) {
        meanServiceTime = meanServiceTime * (1 - SERVICE_TIME_WEIGHT) + duration * SERVICE_TIME_WEIGHT
    }

    /** Places [request] immediately, queues it until its adapter is loaded, or refuses it. */
    override fun place(
        request: PlacementRequest,
        now: Duration,
    ): PlacementOutput =
        step {
            popularity.recordUse(request.adapter, now)
            counters.charge(request.workspace, request.tokens, now)
            val server = chooseHolder(request, now)
            when {
                server != null -> placeOn(server, request, Duration.ZERO, now)
                else -> enqueue(request, now)
            }
            schedule(now)
        }

    /** Records the result of a load. */
    override fun recordLoadResult(
        server: String,
        adapter: AdapterVersion,
        succeeded: Boolean,
        now: Duration,
    ): PlacementOutput =
        step {
            if (loads.finish(server, adapter)) finishLoad(server, adapter, succeeded, now)
            schedule(now)
        }

    /** Processes time-outs and starts loads that are due. */
    override fun tick(now: Duration): PlacementOutput =
        step {
            for (server in servers.values.toList()) {
                server.expire(now)
                if (now - server.lastAnnouncedAt > options.announcementTimeout) removeServer(server, now)
            }
            for ((server, adapter) in loads.removeTimedOut(now)) finishLoad(server, adapter, false, now)
            refuseOverdue(now)
            popularity.evictStale(now)
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

    private fun chooseHolder(
        request: PlacementRequest,
        now: Duration,
    ): ServerState? {
        val candidates = holders.of(request.adapter).filter { it.accepts(request) }
        val best = candidates.minByOrNull { it.costOf(request) } ?: return null
        val wait = queueWait(best, request)
        if (best.inFlight - best.announcement.batch >= options.copyQueue) loads.request(request, now)
        return best.takeIf { now + wait <= request.deadline }
    }

    /** Estimated wait for a slot in the batch of [server], shorter for workspaces that used less than their fair share. */
    private fun queueWait(
        server: ServerState,
        request: PlacementRequest,
    ): Duration {
        val queued = server.inFlight - server.announcement.batch + 1
        if (queued <= 0) return Duration.ZERO
        val timePerSlot = meanServiceTime / maxOf(1, server.announcement.batch)
        return timePerSlot * queued * counters.shareOf(request.workspace)
    }

    private fun placeOn(
        server: ServerState,
        request: PlacementRequest,
        stalled: Duration,
        now: Duration,
    ) {
        val lease = server.grantLease(request.instance, request.adapter, now + options.useLease, ::nextLease)
        request.suspect?.let { server.suspects[it] = now + options.useLease }
        answer(request, PlacementDecision.Placed(server.name, lease, stalled.inWholeMilliseconds))
    }

    private fun enqueue(
        request: PlacementRequest,
        now: Duration,
    ) {
        val usable = servers.values.filter { it.announcement.serves == request.model && it.accepts(request) }
        val holds = holders.of(request.adapter).any { it.accepts(request) }
        when {
            usable.isEmpty() -> refuse(request, if (now < settledAt) RefusalReason.STARTING else RefusalReason.NO_SERVER, NO_SERVER_RETRY)
            holds -> refuse(request, RefusalReason.OVERLOADED, meanServiceTime)
            else -> enqueueLoad(request, now)
        }
    }

    private fun enqueueLoad(
        request: PlacementRequest,
        now: Duration,
    ) {
        val load = loads.request(request, now)
        val wait = loads.waitFor(load, now)
        if (now + wait > request.deadline) {
            refuse(request, RefusalReason.LOAD_TOO_SLOW, wait)
        } else {
            load.waiting += request to now
        }
    }

    private fun refuse(
        request: PlacementRequest,
        reason: RefusalReason,
        retryAfter: Duration,
    ) {
        val after = retryAfter.coerceIn(MIN_RETRY, MAX_RETRY)
        answer(request, PlacementDecision.Refused(reason, after.inWholeMilliseconds))
    }

    private fun refuseOverdue(now: Duration) {
        for (load in loads.pending) {
            val overdue = load.removeWaiting { now > it.deadline }
            if (overdue.isNotEmpty()) refuseAll(overdue, RefusalReason.LOAD_TOO_SLOW, loads.waitFor(load, now))
        }
        loads.removeUnneeded(now)
    }

    private fun refuseAll(
        requests: List<PlacementRequest>,
        reason: RefusalReason,
        retryAfter: Duration,
    ) {
        for (request in requests) refuse(request, reason, retryAfter)
    }

    /** Starts loads in order of urgency, as far as the limits of the weight store allow. */
    private fun schedule(now: Duration) {
        while (loads.mayStart(now)) {
            val next = nextLoad(now) ?: return
            startLoad(next.first, next.second, now)
        }
    }

    private fun nextLoad(now: Duration): Pair<PendingLoad, ServerState>? =
        loads.byUrgency(now).firstNotNullOfOrNull { load -> chooseTarget(load, now)?.let { load to it } }

    private fun chooseTarget(
        load: PendingLoad,
        now: Duration,
    ): ServerState? {
        val eligible =
            servers.values.filter { server ->
                val fits = server.announcement.serves == load.model && !server.announcement.leaving
                fits && load.adapter !in server.loaded && server.loading == null &&
                    (server.freeSlots > 0 || evictionCandidate(server, load, now) != null)
            }
        return eligible.minByOrNull { server ->
            val score = if (server.freeSlots > 0) 0.0 else evictionCandidate(server, load, now)?.let { popularity.scoreOf(it, now) } ?: 0.0
            server.batchLoad + score * EVICTION_COST
        }
    }

    private fun evictionCandidate(
        server: ServerState,
        load: PendingLoad,
        now: Duration,
    ): AdapterVersion? {
        if (now < evictionAllowedAt) return null
        val idle = server.loaded.filter { !server.isUsed(it) }
        val candidate = idle.minByOrNull { popularity.scoreOf(it, now) / holders.of(it).size.coerceAtLeast(1) } ?: return null
        val needed =
            load.waiting.isNotEmpty() || popularity.scoreOf(load.adapter, now) > popularity.scoreOf(candidate, now) * EVICTION_MARGIN
        return candidate.takeIf { needed }
    }

    private fun startLoad(
        load: PendingLoad,
        server: ServerState,
        now: Duration,
    ) {
        val evicted = if (server.freeSlots > 0) null else checkNotNull(evictionCandidate(server, load, now))
        if (evicted != null) {
            check(!server.isUsed(evicted)) { "adapter $evicted chosen for eviction is in use on server ${server.name}" }
            holders.remove(server, evicted)
        }
        server.loading = load.adapter
        loads.start(server.name, load.adapter, now)
        output = output.copy(orders = output.orders + Order.Load(server.name, load.adapter, evicted))
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
            refuseAfterFailedLoad(adapter, now)
            return
        }
        holders.add(server, adapter, now)
        val load = loads.remove(adapter) ?: return
        for ((request, askedAt) in load.waiting) {
            if (server.accepts(request)) {
                placeOn(server, request, now - askedAt, now)
            } else {
                refuse(request, RefusalReason.OVERLOADED, meanServiceTime)
            }
        }
    }

    /** Refuses the waiting requests that cannot wait for another attempt. The load is retried for the others. */
    private fun refuseAfterFailedLoad(
        adapter: AdapterVersion,
        now: Duration,
    ) {
        val load = loads[adapter] ?: return
        val overdue = load.removeWaiting { now + options.loadTime > it.deadline }
        refuseAll(overdue, RefusalReason.LOAD_FAILED, options.loadTime)
    }

    /** Aligns the recorded adapters with those announced by the server, except for recent changes that it may not have announced yet. */
    private fun reconcile(
        server: ServerState,
        now: Duration,
    ) {
        val reported = server.announcement.loaded.toSet()
        for (adapter in reported - server.loaded) if (server.loading != adapter && server.freeSlots > 0) holders.add(server, adapter, now)
        val missing = server.loadedSince.filter { (adapter, since) -> adapter !in reported && now - since > REPORT_LAG }.keys
        for (adapter in missing) holders.remove(server, adapter)
    }

    private fun removeServer(
        server: ServerState,
        now: Duration,
    ) {
        for (adapter in server.loaded.toList()) holders.remove(server, adapter)
        servers -= server.name
        output = output.copy(lostServers = output.lostServers + server.name)
        val loading = server.loading ?: return
        loads.finish(server.name, loading)
        refuseAfterFailedLoad(loading, now)
    }

    private companion object {
        val SETTLING_TIME = 2.seconds
        val REPORT_LAG = 2.seconds
        val INITIAL_SERVICE_TIME = 1.seconds
        val NO_SERVER_RETRY = 1.seconds
        val MIN_RETRY = 50.milliseconds
        val MAX_RETRY = 30.seconds
        const val SERVICE_TIME_WEIGHT = 0.05
        const val EVICTION_COST = 0.05
        const val EVICTION_MARGIN = 2.0
    }
}
