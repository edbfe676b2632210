package anvilslip.policy

import anvilslip.state.AdapterName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The backend servers as a [Dispatcher] sees them, and what sending a request to one of them would cost. */
internal class DispatchFleet(
    private val options: DispatchOptions,
) {
    private val byId = LinkedHashMap<String, DispatchServer>()
    private val speeds = HashMap<String, PrefillSpeed>()
    var configuration = ServingConfiguration(-1)
    var versions: Map<AdapterName, Long> = emptyMap()

    val servers: Collection<DispatchServer> get() = byId.values

    operator fun get(id: String): DispatchServer? = byId[id]

    /** Takes over the servers that are alive. */
    fun updateServers(
        reports: List<ServerReport>,
        now: Duration,
    ) {
        byId.keys.retainAll(reports.map { it.id }.toSet())
        for (report in reports) {
            val server = byId[report.id]
            when {
                server == null -> byId[report.id] = DispatchServer(report, options).also { it.assume(report, now) }
                server.report.startedAtMillis != report.startedAtMillis -> server.restart(report)
                else -> server.report = report
            }
        }
    }

    /** Servers that may take [request]; those that could not be reached of late only when there is no other. */
    fun candidates(
        request: DispatchRequest,
        now: Duration,
    ): List<DispatchServer> {
        val all = servers.filter { it.report.service == request.service && it.isReady && it.report.id !in request.exclude }
        return all.filter { now >= it.avoidedUntil }.ifEmpty { all }
    }

    fun engineOf(server: DispatchServer): EngineProfile? = configuration.services[server.report.service]?.engine

    fun speed(service: String): PrefillSpeed = speeds.getOrPut(service) { PrefillSpeed(options.tokensPerMillisecond) }

    fun version(
        model: String,
        adapter: String,
    ): Long? = versions[AdapterName(model, adapter)]

    fun hasMemory(
        server: DispatchServer,
        request: DispatchRequest,
    ): Boolean {
        val engine = engineOf(server) ?: return true
        return server.running < engine.slots && server.memory + request.promptTokens < engine.kvCapacity * options.memoryShare
    }

    /** Expected time until [server] turns to [request], and what other zones cost. */
    fun cost(
        server: DispatchServer,
        request: DispatchRequest,
    ): Duration {
        val zone = if (server.report.zone == request.zone) Duration.ZERO else options.zonePenalty
        if (request.model != null) return server.wait(speed(server.report.service).tokensPerMillisecond) + zone
        return queueTime(server) + RUNNING_COST * server.running + zone
    }

    /** Time that a plain request waits at [server] for one of its slots. */
    fun queueTime(server: DispatchServer): Duration {
        val queued = maxOf(0, server.running - server.report.slots + 1)
        return options.serviceTime * queued / server.report.slots
    }

    /** True when a wait of [wait] at an engine would make the answer to [request] late; its own prompt alone never does. */
    fun isTooLate(
        wait: Duration,
        request: DispatchRequest,
    ): Boolean {
        val own = (request.promptTokens / speed(request.service).tokensPerMillisecond).milliseconds
        return wait + own > minOf(request.targetMillis, request.remainingMillis).milliseconds * options.waitShare && wait > own
    }

    private companion object {
        /** Spreads plain requests over servers that are not full. */
        val RUNNING_COST = 5.milliseconds
    }
}
