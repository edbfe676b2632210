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

    /** Servers that may take [demand]; those that could not be reached of late only when there is no other. */
    fun candidates(
        demand: DispatchRequest,
        now: Duration,
    ): List<DispatchServer> {
        val all = servers.filter { it.report.service == demand.service && it.isReady && it.report.id !in demand.exclude }
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
        demand: DispatchRequest,
    ): Boolean {
        val engine = engineOf(server) ?: return true
        return server.running < engine.slots && server.memory + demand.promptTokens < engine.kvCapacity * options.memoryShare
    }

    /** Expected time until [server] turns to [demand], and what other zones cost. */
    fun cost(
        server: DispatchServer,
        demand: DispatchRequest,
    ): Duration {
        val zone = if (server.report.zone == demand.zone) Duration.ZERO else options.zonePenalty
        if (demand.model != null) return server.wait(speed(server.report.service).tokensPerMillisecond) + zone
        return queueTime(server) + RUNNING_COST * server.running + zone
    }

    /** Time that a plain request waits at [server] for one of its slots. */
    fun queueTime(server: DispatchServer): Duration {
        val queued = maxOf(0, server.running - server.report.slots + 1)
        return options.serviceTime * queued / server.report.slots
    }

    /** True when a wait of [wait] at an engine would make the answer to [demand] late; its own prompt alone never does. */
    fun isTooLate(
        wait: Duration,
        demand: DispatchRequest,
    ): Boolean {
        val own = (demand.promptTokens / speed(demand.service).tokensPerMillisecond).milliseconds
        return wait + own > minOf(demand.targetMillis, demand.remainingMillis).milliseconds * options.waitShare && wait > own
    }

    private companion object {
        /** Spreads plain requests over servers that are not full. */
        val RUNNING_COST = 5.milliseconds
    }
}
