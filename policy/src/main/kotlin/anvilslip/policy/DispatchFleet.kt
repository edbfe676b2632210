package anvilslip.policy

import anvilslip.state.AdapterName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** The backend servers known to a [Dispatcher], and the expected cost of sending a request to each of them. */
internal class DispatchFleet(
    private val options: DispatchOptions,
    private val coldServers: ColdServers,
    private val coldLimiter: ColdStartLimiter,
    val reportedLimits: ReportedLimits,
) {
    private val serversById = LinkedHashMap<String, DispatchServer>()
    private val performances = HashMap<String, ServicePerformance>()
    private var readyServers: Map<String, Int> = emptyMap()

    /** Services whose requests wait in an [AdmissionQueue]; kept because each decision asks for every server. */
    private var queuedServices: Set<String> = emptySet()
    val outputEstimate = OutputEstimate()
    val adapterLoadTime = AdapterLoadTime(options.adapterLoad)
    private val rateLimiter = ServerRateLimiter(reportedLimits)
    private val zonePenaltyMillis = options.zonePenalty.toDouble(DurationUnit.MILLISECONDS)
    var configuration = ServingConfiguration(-1)
        set(value) {
            field = value
            updateQueuedServices()
        }
    var versions: Map<AdapterName, Long> = emptyMap()

    /** Availability zones to whose servers nothing new is sent. */
    var evacuatedZones: Set<String> = emptySet()

    /** The servers of [serversById] by service. */
    private var serversByService: Map<String, List<DispatchServer>> = emptyMap()

    val servers: Collection<DispatchServer> get() = serversById.values

    operator fun get(id: String): DispatchServer? = serversById[id]

    /** Replaces the set of live servers by those in [reports]. */
    fun updateServers(
        reports: List<ServerReport>,
        now: Duration,
    ) {
        val ids = reports.mapTo(HashSet()) { it.id }
        serversById.keys.retainAll(ids)
        reportedLimits.retain(reports)
        rateLimiter.retain(ids)
        for (report in reports) if (mayBeCold(report.service)) coldServers.observe(report, now)
        for (report in reports) {
            val server = serversById[report.id]
            when {
                server == null -> {
                    serversById[report.id] =
                        DispatchServer(report, options, performanceOf(report)).also { it.assumeLoaded(report, now) }
                }

                server.report.startedAtMillis != report.startedAtMillis -> {
                    server.reset(report)
                }

                else -> {
                    server.report = report
                }
            }
        }
        if (!isGrouped()) serversByService = serversById.values.groupBy { it.report.service }
        readyServers = reports.filter { it.phase == ServerPhase.READY }.groupingBy { it.service }.eachCount()
        updateQueuedServices()
    }

    /** True if [serversByService] has the servers of [serversById] in their order. */
    private fun isGrouped(): Boolean {
        val indexes = HashMap<String, Int>()
        for (server in serversById.values) {
            val index = indexes.merge(server.report.service, 1, Int::plus)!! - 1
            if (serversByService[server.report.service]?.getOrNull(index) !== server) return false
        }
        return serversByService.all { (service, servers) -> indexes[service] == servers.size }
    }

    /** Prompt tokens per millisecond that the servers of [service] that may be used process together. */
    fun capacity(service: String): Double {
        val usable = servers.filter { it.report.service == service && it.isReady && !isEvacuated(it) }
        val speed = prefillSpeed(service)
        if (!hasLimits) return speed * usable.size
        return usable.sumOf { minOf(speed, (rateLimiter.rateOf(it.report) ?: Double.MAX_VALUE) * MEAN_TOKENS / MILLIS_PER_SECOND) }
    }

    /** True if requests for [service] wait in an [AdmissionQueue] until their deadline. */
    fun isQueued(service: String): Boolean = service in queuedServices

    private fun updateQueuedServices() {
        queuedServices = readyServers.filter { it.value >= options.minQueueEngines && configuration.services[it.key]?.engine != null }.keys
    }

    /**
     * Servers that can run [request]; recently unreachable servers are included only if there are no others. Suspects run on different
     * servers if possible, so that an innocent one does not share the next crash with the one that causes it.
     */
    fun candidates(
        request: DispatchRequest,
        now: Duration,
    ): List<DispatchServer> {
        val ready = ArrayList<DispatchServer>()
        for (server in serversByService[request.service].orEmpty()) if (mayRun(server, request)) ready += server
        val reachable = ready.filterUnlessAll { now >= it.avoidedUntil }.ifEmpty { ready }
        return if (request.isSuspect) reachable.filter { it.runningSuspects == 0 }.ifEmpty { reachable } else reachable
    }

    private fun mayRun(
        server: DispatchServer,
        request: DispatchRequest,
    ): Boolean = server.isReady && !isEvacuated(server) && request.mayRunOn(server.report) && server.report.id !in request.exclude

    /** True if no server of the service runs the software version that began the stream that [request] resumes. */
    fun isVersionGone(request: DispatchRequest): Boolean =
        request.softwareVersion != null &&
            servers.none { it.report.service == request.service && it.isReady && request.mayRunOn(it.report) }

    fun isEvacuated(server: DispatchServer): Boolean = server.report.zone in evacuatedZones

    /** Number of ready servers of [service] if all of them are in zones under evacuation, otherwise 0. */
    fun countIfAllEvacuated(service: String): Int {
        val ready = servers.filter { it.report.service == service && it.isReady }
        return if (ready.all(::isEvacuated)) ready.size else 0
    }

    private fun serviceOf(server: DispatchServer): BackendService? = configuration.services[server.report.service]

    /** True if some server has named a limit. */
    val hasLimits: Boolean get() = reportedLimits.hasLimits

    fun isLimited(server: DispatchServer): Boolean = reportedLimits.limitOf(server.report) != null

    /** True if the limit that [server] has named allows too few requests to estimate its speed from their answers. */
    fun answersSeldom(server: DispatchServer): Boolean =
        hasLimits && rateLimiter.rateOf(server.report).let { it != null && it < MIN_OBSERVED_RATE }

    /** Time until the limit that [server] has named allows a request; zero if it has named none. */
    fun limitWait(
        server: DispatchServer,
        now: Duration,
    ): Duration = rateLimiter.waitTime(server.report, now)

    /** True if servers of [service] tolerate only few requests while they are cold. */
    fun mayBeCold(service: String): Boolean = (configuration.services[service]?.coldRequestsPerSecond ?: 0.0) > 0

    /** True if [server] is cold and tolerates only few requests. */
    fun isCold(
        server: DispatchServer,
        now: Duration,
    ): Boolean = coldServers.isCold(server.report, serviceOf(server), now)

    /** True if another request may be sent at [at] to [server], which is cold. */
    fun hasColdRoom(
        server: DispatchServer,
        at: Duration,
        now: Duration,
    ): Boolean {
        val limit = ColdStartLimiter.limit(serviceOf(server) ?: return true, options)
        return coldLimiter.hasRoom(server.report.id, at, now, limit)
    }

    /** Records that a request is to be sent to [server] at [at]. */
    fun recordSend(
        server: DispatchServer,
        at: Duration,
        now: Duration,
    ) {
        if ((serviceOf(server)?.coldRequestsPerSecond ?: 0.0) > 0) coldLimiter.record(server.report.id, at, now)
        rateLimiter.recordSend(server.report, now)
    }

    fun engineOf(server: DispatchServer): EngineProfile? = configuration.services[server.report.service]?.engine

    /** Number of adapters that [server] may hold; null if it is no engine. */
    fun adapterCapacity(server: DispatchServer): Int? = engineOf(server)?.let(server::adapterCapacity)

    private fun performanceOf(report: ServerReport): EnginePerformance {
        val service =
            performances.getOrPut(report.service) {
                if (report.models == null) {
                    ServicePerformance(options.serviceTime.toDouble(DurationUnit.MILLISECONDS), 0.0)
                } else {
                    ServicePerformance(1 / options.tokensPerMillisecond, options.runningRequestCost.toDouble(DurationUnit.MILLISECONDS))
                }
            }
        return EnginePerformance(service)
    }

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

    /**
     * Expected time in milliseconds until [server] answers [request], by which engines are compared: [cost] and the time for its own
     * prompt.
     */
    fun answerCostMillis(
        server: DispatchServer,
        request: DispatchRequest,
        now: Duration,
    ): Double {
        val zone = if (server.report.zone == request.zone) 0.0 else zonePenaltyMillis
        return server.expectedAnswerMillis(now, waitPriority(request), request.promptTokens) + zone
    }

    /** KV cache tokens that [request] is expected to use. Without a queue only the prompt counts. */
    fun kvUse(request: DispatchRequest): Int = request.promptTokens + if (isQueued(request.service)) outputEstimate.expected(request) else 0

    /** Expected time until [server] starts [request], plus the penalty for a server in another zone. */
    fun cost(
        server: DispatchServer,
        request: DispatchRequest,
        now: Duration,
    ): Duration {
        val zone = if (server.report.zone == request.zone) Duration.ZERO else options.zonePenalty
        if (request.model != null) return server.expectedWait(now, waitPriority(request)) + zone
        return server.performance.expectedTime(server.plainWork, 0) + RUNNING_COST * server.runningRequests + zone
    }

    /** Least urgent priority whose pending tokens a server processes before [request]. Without a queue, all pending tokens count. */
    fun waitPriority(request: DispatchRequest): Int = if (isQueued(request.service)) request.priority else PendingTokens.LEAST_URGENT

    /** Prompt tokens per millisecond that an engine of [service] processes on average. */
    fun prefillSpeed(service: String): Double = performances[service]?.let { 1 / it.millisPerUnit } ?: options.tokensPerMillisecond

    /** Time that an engine of the service takes on average to process the prompt of [request]. */
    fun prefillTime(request: DispatchRequest): Duration = (request.promptTokens / prefillSpeed(request.service)).milliseconds

    /** Expected time that a plain request waits for a free slot on [server]. */
    fun queueTime(server: DispatchServer): Duration = server.performance.expectedTime(server.plainWork - 1, 0)

    /**
     * True if a wait of [wait] on [server] would delay the answer to [request] beyond its target. The prefill time of its own
     * prompt alone never counts as too late.
     */
    fun isTooLate(
        wait: Duration,
        server: DispatchServer,
        request: DispatchRequest,
    ): Boolean {
        val prefillTime = server.promptTime(request.promptTokens)
        return wait + prefillTime > minOf(request.targetMillis, request.remainingMillis).milliseconds * options.waitShare &&
            wait > prefillTime
    }

    companion object {
        /** Tokens of a typical request, which relates limits in requests to limits and speeds in tokens. */
        const val MEAN_TOKENS = 1_000L
        private const val MILLIS_PER_SECOND = 1_000

        /** Cost per running request; spreads plain requests over servers that have free slots. */
        private val RUNNING_COST = 5.milliseconds

        /** Answers per second below which a few that are reported late, by instances that were frozen, would decide the estimate. */
        private const val MIN_OBSERVED_RATE = 5.0
    }
}
