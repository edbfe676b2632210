package anvilslip.standin

import anvilslip.policy.AdapterUse
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.BackendKind
import anvilslip.policy.Order
import anvilslip.policy.PlacementDecision
import anvilslip.policy.PlacementOutput
import anvilslip.policy.PlacementPolicy
import anvilslip.policy.PlacementRequest
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Simulates a placement policy under seeded random arrivals in virtual time. The engines are simple models. */
public class Experiment(
    private val options: ExperimentOptions,
    private val scenario: String,
    private val policyName: String,
    private val policy: PlacementPolicy,
    private val seed: Long,
) {
    private class Request(
        val arrivedAt: Duration,
        val workspace: Int,
        val adapter: AdapterVersion,
        val tokens: Int,
        val instance: String,
    ) {
        var placedAt: Duration? = null
        var wait: Duration? = null
    }

    private class Engine(
        val name: String,
        val zone: String,
    ) {
        var incarnation = 0
        val loaded = LinkedHashSet<AdapterVersion>()
        val queue = ArrayDeque<Request>()
        val running = HashMap<AdapterVersion, Int>()
        var active = 0
        var busyTime = 0.0
        var filledBatchTime = 0.0
        var changedAt = Duration.ZERO
    }

    private data class UseKey(
        val instance: String,
        val server: String,
        val adapter: AdapterVersion,
    )

    private val random = Random(seed)
    private val time = VirtualTime()
    private val now: Duration get() = time.now
    private val engines = (1..options.engines).map { Engine("engine-$it", "az${it % options.zones}") }.associateBy { it.name }
    private val requests = ArrayList<Request>()
    private val pending = HashMap<Long, Request>()
    private val inUse = HashMap<UseKey, Int>()
    private val placements = HashMap<UseKey, Pair<Long, Long>>()
    private val ranks = (0 until options.adapters / options.workspaces.size).shuffled(random).toMutableList()
    private val adaptersPerWorkspace = options.adapters / options.workspaces.size
    private val cumulativePopularity =
        DoubleArray(adaptersPerWorkspace) { 1.0 / (it + 1.0).pow(options.skew) }.also {
            for (i in 1 until it.size) {
                it[i] +=
                    it[i - 1]
            }
        }
    private var lastRequestId = 0L
    private var loads = 0
    private var loadsInFlight = 0
    private var isShifted = false

    /** Runs the simulation and returns its metrics. */
    public fun run(): ExperimentResult {
        time.at(Duration.ZERO) { engines.values.forEach(::sendAnnouncement) }
        time.every(500.milliseconds) { engines.values.forEach(::sendAnnouncement) }
        time.every(250.milliseconds) { (1..options.instances).forEach { renewInstanceLeases("i$it") } }
        time.every(50.milliseconds) { applyOutput(policy.tick(now)) }
        options.shiftAt?.let { time.at(it) { shiftPopularity() } }
        options.restartAt?.let { time.at(it) { restart(engines.values.first()) } }
        time.at(Duration.ZERO) { handleArrival() }
        time.runUntil(options.duration + options.timeout * 2)
        return result()
    }

    private fun handleArrival() {
        if (now >= options.duration) return
        val rate = options.requestsPerSecond
        time.at(now + (-ln(1 - random.nextDouble()) / rate).seconds) { handleArrival() }
        submit(sampleWorkspace())
        val extra = if (isShifted) (options.surge - 1) * options.workspaces[0] else 0.0
        if (random.nextDouble() < extra) submit(0)
    }

    private fun submit(workspace: Int) {
        val adapter = sampleAdapter(workspace)
        val request = Request(now, workspace, adapter, options.tokens.random(random), "i${random.nextInt(options.instances) + 1}")
        requests += request
        requestPlacement(request)
    }

    private fun sampleWorkspace(): Int {
        var at = random.nextDouble() * options.workspaces.sum()
        return options.workspaces.indexOfFirst {
            at -= it
            at <= 0
        }
    }

    /** Samples an adapter of [workspace]. The adapters are split evenly between workspaces, each with its own popular ones. */
    private fun sampleAdapter(workspace: Int): AdapterVersion {
        val drawn = cumulativePopularity.binarySearch(random.nextDouble() * cumulativePopularity.last())
        val rank = if (drawn >= 0) drawn else -drawn - 1
        return AdapterVersion("w$workspace-${ranks[rank]}", "v1")
    }

    private fun shiftPopularity() {
        isShifted = true
        val head = ranks.subList(0, SHIFTED_RANKS).toList()
        for (i in 0 until SHIFTED_RANKS) {
            ranks[i] = ranks[adaptersPerWorkspace / 2 + i]
            ranks[adaptersPerWorkspace / 2 + i] = head[i]
        }
    }

    private fun requestPlacement(request: Request) {
        val id = ++lastRequestId
        pending[id] = request
        val deadline = now + options.waitTarget
        val zone = engines.values.random(random).zone
        applyOutput(
            policy.place(
                PlacementRequest(
                    id,
                    request.instance,
                    "w${request.workspace}",
                    "base",
                    request.adapter,
                    deadline,
                    request.tokens.toDouble(),
                    zone,
                ),
                now,
            ),
        )
    }

    private fun applyOutput(output: PlacementOutput) {
        for (answer in output.answers) {
            val request = pending.remove(answer.request.id) ?: continue
            when (val decision = answer.decision) {
                is PlacementDecision.Placed -> handlePlaced(request, engines.getValue(decision.server), decision)
                is PlacementDecision.Refused -> handleRefused(request, decision.retryAfterMillis.milliseconds)
            }
        }
        output.orders.forEach(::load)
    }

    private fun handlePlaced(
        request: Request,
        engine: Engine,
        decision: PlacementDecision.Placed,
    ) {
        val key = UseKey(request.instance, engine.name, request.adapter)
        inUse.merge(key, 1, Int::plus)
        val (lease, count) = placements[key] ?: (0L to 0L)
        placements[key] = if (decision.lease > lease) decision.lease to 1L else lease to count + 1
        if (request.adapter !in engine.loaded) {
            releaseAdapter(key)
            return time.at(now + NOT_LOADED_RETRY_DELAY) { requestPlacement(request) }
        }
        request.placedAt = now
        engine.queue.addLast(request)
        engine.running.merge(request.adapter, 1, Int::plus)
        startQueued(engine)
    }

    private fun handleRefused(
        request: Request,
        retryAfter: Duration,
    ) {
        if (now + retryAfter - request.arrivedAt < options.timeout) time.at(now + retryAfter) { requestPlacement(request) }
    }

    private fun startQueued(engine: Engine) {
        while (engine.active < options.batch && engine.queue.isNotEmpty()) {
            val request = engine.queue.removeFirst()
            updateUtilization(engine)
            engine.active++
            request.wait = now - request.arrivedAt
            val incarnation = engine.incarnation
            val serviceTime = options.tokenTime * request.tokens
            time.at(now + serviceTime) { if (incarnation == engine.incarnation) handleCompletion(engine, request, serviceTime) }
        }
    }

    private fun handleCompletion(
        engine: Engine,
        request: Request,
        time: Duration,
    ) {
        updateUtilization(engine)
        engine.active--
        engine.running.merge(request.adapter, -1, Int::plus)
        releaseAdapter(UseKey(request.instance, engine.name, request.adapter))
        policy.observeServiceTime(time)
        startQueued(engine)
    }

    private fun updateUtilization(engine: Engine) {
        val elapsed = (now - engine.changedAt).toDouble(DurationUnit.SECONDS)
        if (engine.active > 0) engine.busyTime += elapsed
        engine.filledBatchTime += elapsed * engine.active / options.batch
        engine.changedAt = now
    }

    private fun releaseAdapter(key: UseKey) {
        inUse.merge(key, -1, Int::plus)
    }

    private fun renewInstanceLeases(instance: String) {
        val keys = inUse.keys.filter { it.instance == instance }
        val uses =
            keys.map { key ->
                val (lease, count) = placements.getValue(key)
                AdapterUse(key.server, key.adapter, inUse.getValue(key), count, lease, released = inUse[key] == 0)
            }
        applyOutput(policy.renewLeases(instance, uses, now))
        keys.filter { inUse[it] == 0 }.forEach(inUse::remove)
    }

    private fun sendAnnouncement(engine: Engine) {
        val running = engine.running.filterValues { it > 0 }
        val announcement =
            Announcement(
                server = engine.name,
                incarnation = "${engine.incarnation}",
                kind = BackendKind.MODEL,
                serves = "base",
                address = "127.0.0.1:1",
                zone = engine.zone,
                slots = options.slots,
                batch = options.batch,
                loaded = engine.loaded.toList(),
                running = running,
            )
        time.at(now + ANNOUNCEMENT_DELAY) { applyOutput(policy.applyAnnouncement(announcement, now)) }
    }

    private fun load(order: Order.Load) {
        loads++
        loadsInFlight++
        val engine = engines.getValue(order.server)
        val evicted = order.evict
        if (evicted !=
            null
        ) {
            check((engine.running[evicted] ?: 0) == 0) { "seed $seed: $evicted was evicted from ${engine.name} while in use" }
        }
        engine.loaded -= listOfNotNull(evicted).toSet()
        val incarnation = engine.incarnation
        val loadTime = options.loadTime * maxOf(1.0, loadsInFlight / UNTHROTTLED_LOADS)
        time.at(now + loadTime) {
            loadsInFlight--
            val succeeds = incarnation == engine.incarnation && random.nextDouble() >= options.failedLoads
            if (succeeds) engine.loaded += order.adapter
            applyOutput(policy.recordLoadResult(order.server, order.adapter, succeeds, now))
        }
    }

    private fun restart(engine: Engine) {
        updateUtilization(engine)
        val lostRequests = engine.queue.toList()
        engine.incarnation++
        engine.loaded.clear()
        engine.queue.clear()
        engine.running.clear()
        engine.active = 0
        inUse.keys.removeAll { it.server == engine.name }
        lostRequests.forEach(::requestPlacement)
    }

    private fun result(): ExperimentResult {
        engines.values.forEach(::updateUtilization)
        val byWorkspace = requests.groupBy { it.workspace }.values.map { own -> waitPercentile(own.map { it.wait ?: options.timeout }) }
        val missed = requests.count { (it.wait ?: Duration.INFINITE) > options.waitTarget }
        return ExperimentResult(
            deployment = options.name,
            scenario = scenario,
            policy = policyName,
            seed = seed,
            requests = requests.size,
            stalledSecondsPerThousand = requests.sumOf { stalledTime(it).toDouble(DurationUnit.SECONDS) } * THOUSAND / requests.size,
            batchEfficiency = engines.values.sumOf { it.filledBatchTime } / engines.values.sumOf { it.busyTime },
            worstWorkspaceWait = byWorkspace.max(),
            worstToBest = byWorkspace.max() / byWorkspace.min().coerceAtLeast(MIN_WAIT_SECONDS),
            refusedShare = requests.count { it.wait == null }.toDouble() / requests.size,
            missedTarget = missed.toDouble() / requests.size,
            loads = loads,
        )
    }

    private fun stalledTime(request: Request): Duration = request.placedAt?.let { it - request.arrivedAt } ?: options.timeout

    private fun waitPercentile(waits: List<Duration>): Double =
        waits.sorted()[((waits.size - 1) * QUANTILE).toInt()].toDouble(DurationUnit.SECONDS)

    private companion object {
        const val SHIFTED_RANKS = 20
        const val UNTHROTTLED_LOADS = 8.0
        const val THOUSAND = 1000.0
        const val QUANTILE = 0.99
        const val MIN_WAIT_SECONDS = 0.001
        val ANNOUNCEMENT_DELAY = 200.milliseconds
        val NOT_LOADED_RETRY_DELAY = 50.milliseconds
    }
}
