package anvilslip.policy

import anvilslip.state.AdapterName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The backend servers known to a [Dispatcher], and the expected cost of sending a request to each of them. */
internal class DispatchFleet(
    private val options: DispatchOptions,
) {
    private val serversById = LinkedHashMap<String, DispatchServer>()
    private val speeds = HashMap<String, PrefillSpeed>()
    private var readyServers: Map<String, Int> = emptyMap()
    val outputEstimate = OutputEstimate()
    var configuration = ServingConfiguration(-1)
    var versions: Map<AdapterName, Long> = emptyMap()

    val servers: Collection<DispatchServer> get() = serversById.values

    operator fun get(id: String): DispatchServer? = serversById[id]

    /** Replaces the set of live servers by those in [reports]. */
    fun updateServers(
        reports: List<ServerReport>,
        now: Duration,
    ) {
        serversById.keys.retainAll(reports.map { it.id }.toSet())
        for (report in reports) {
            val server = serversById[report.id]
            when {
                server == null -> serversById[report.id] = DispatchServer(report, options).also { it.assumeLoaded(report, now) }
                server.report.startedAtMillis != report.startedAtMillis -> server.reset(report)
                else -> server.report = report
            }
        }
        readyServers = reports.filter { it.phase == ServerPhase.READY }.groupingBy { it.service }.eachCount()
    }

    /** Number of ready servers of [service]. */
    fun readyCount(service: String): Int = readyServers[service] ?: 0

    /** True if requests for [service] wait in an [AdmissionQueue] until their deadline. */
    fun isQueued(service: String): Boolean =
        readyCount(service) >= options.minQueueEngines && configuration.services[service]?.engine != null

    /**
     * Servers that can run [request]; recently unreachable servers are included only if there are no others. Suspects run on different
     * servers if possible, so that an innocent one does not share the next crash with the one that causes it.
     */
    fun candidates(
        request: DispatchRequest,
        now: Duration,
    ): List<DispatchServer> {
        val ready = servers.filter { it.report.service == request.service && it.isReady && it.report.id !in request.exclude }
        val reachable = ready.filter { now >= it.avoidedUntil }.ifEmpty { ready }
        return if (request.isSuspect) reachable.filter { it.runningSuspects == 0 }.ifEmpty { reachable } else reachable
    }

    fun engineOf(server: DispatchServer): EngineProfile? = configuration.services[server.report.service]?.engine

    fun speed(service: String): PrefillSpeed = speeds.getOrPut(service) { PrefillSpeed(options.tokensPerMillisecond) }

    fun currentVersion(
        model: String,
        adapter: String,
    ): Long? = versions[AdapterName(model, adapter)]

    fun hasMemory(
        server: DispatchServer,
        request: DispatchRequest,
    ): Boolean {
        val engine = engineOf(server) ?: return true
        return server.runningRequests < engine.slots && server.kvTokens + kvUse(request) < engine.kvCapacity * options.memoryShare
    }

    /** KV cache tokens that [request] is expected to use. Without a queue only the prompt counts. */
    fun kvUse(request: DispatchRequest): Int = request.promptTokens + if (isQueued(request.service)) outputEstimate.expected(request) else 0

    /** Expected time until [server] starts [request], plus the penalty for a server in another zone. */
    fun cost(
        server: DispatchServer,
        request: DispatchRequest,
    ): Duration {
        val zone = if (server.report.zone == request.zone) Duration.ZERO else options.zonePenalty
        if (request.model != null) return expectedWait(server, request) + zone
        return queueTime(server) + RUNNING_COST * server.runningRequests + zone
    }

    /** Without a queue, all pending tokens count, whatever their priority. */
    private fun expectedWait(
        server: DispatchServer,
        request: DispatchRequest,
    ): Duration {
        val priority = if (isQueued(request.service)) request.priority else PendingTokens.LEAST_URGENT
        return server.expectedWait(speed(server.report.service).tokensPerMillisecond, priority)
    }

    /** Time that an engine takes to process the prompt of [request]. */
    fun prefillTime(request: DispatchRequest): Duration = (request.promptTokens / speed(request.service).tokensPerMillisecond).milliseconds

    /** Expected time that a plain request waits for a free slot on [server]. */
    fun queueTime(server: DispatchServer): Duration {
        val queued = maxOf(0, server.runningRequests - server.report.slots + 1)
        return options.serviceTime * queued / server.report.slots
    }

    /**
     * True if a wait of [wait] on an engine would delay the answer to [request] beyond its target. The prefill time of its own
     * prompt alone never counts as too late.
     */
    fun isTooLate(
        wait: Duration,
        request: DispatchRequest,
    ): Boolean {
        val prefillTime = prefillTime(request)
        return wait + prefillTime > minOf(request.targetMillis, request.remainingMillis).milliseconds * options.waitShare &&
            wait > prefillTime
    }

    private companion object {
        /** Cost per running request; spreads plain requests over servers that have free slots. */
        val RUNNING_COST = 5.milliseconds
    }
}
