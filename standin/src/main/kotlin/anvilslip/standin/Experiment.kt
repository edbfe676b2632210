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

/** Drives a placement policy with a seeded list of arrivals in virtual time. The policy is the daemon's own; engines are counters. */
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
        var filledTime = 0.0
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
    private val adaptersEach = options.adapters / options.workspaces.size
    private val cumulative =
        DoubleArray(adaptersEach) { 1.0 / (it + 1.0).pow(options.skew) }.also {
            for (i in 1 until it.size) {
                it[i] +=
                    it[i - 1]
            }
        }
    private var demands = 0L
    private var loads = 0
    private var loadsInFlight = 0
    private var shifted = false

    /** Runs to the end and returns the figures. */
    public fun run(): ExperimentResult {
        time.at(Duration.ZERO) { engines.values.forEach(::announce) }
        time.every(500.milliseconds) { engines.values.forEach(::announce) }
        time.every(250.milliseconds) { (1..options.instances).forEach { renew("i$it") } }
        time.every(50.milliseconds) { carryOut(policy.tick(now)) }
        options.shiftAt?.let { time.at(it) { shift() } }
        options.restartAt?.let { time.at(it) { restart(engines.values.first()) } }
        time.at(Duration.ZERO) { arrive() }
        time.runUntil(options.duration + options.patience * 2)
        return result()
    }

    private fun arrive() {
        if (now >= options.duration) return
        val rate = options.requestsPerSecond
        time.at(now + (-ln(1 - random.nextDouble()) / rate).seconds) { arrive() }
        submit(workspace())
        val extra = if (shifted) (options.surge - 1) * options.workspaces[0] else 0.0
        if (random.nextDouble() < extra) submit(0)
    }

    private fun submit(workspace: Int) {
        val adapter = adapterOf(workspace)
        val request = Request(now, workspace, adapter, options.tokens.random(random), "i${random.nextInt(options.instances) + 1}")
        requests += request
        demand(request)
    }

    private fun workspace(): Int {
        var at = random.nextDouble() * options.workspaces.sum()
        return options.workspaces.indexOfFirst {
            at -= it
            at <= 0
        }
    }

    /** Each workspace has an equal part of the adapters and popular ones of its own. */
    private fun adapterOf(workspace: Int): AdapterVersion {
        val drawn = cumulative.binarySearch(random.nextDouble() * cumulative.last())
        val rank = if (drawn >= 0) drawn else -drawn - 1
        return AdapterVersion("w$workspace-${ranks[rank]}", "v1")
    }

    private fun shift() {
        shifted = true
        val head = ranks.subList(0, SHIFTED_RANKS).toList()
        for (i in 0 until SHIFTED_RANKS) {
            ranks[i] = ranks[adaptersEach / 2 + i]
            ranks[adaptersEach / 2 + i] = head[i]
        }
    }

    private fun demand(request: Request) {
        val id = ++demands
        pending[id] = request
        val deadline = now + options.waitTarget
        val zone = engines.values.random(random).zone
        carryOut(
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

    private fun carryOut(output: PlacementOutput) {
        for (answer in output.answers) {
            val request = pending.remove(answer.request.id) ?: continue
            when (val decision = answer.decision) {
                is PlacementDecision.Placed -> placed(request, engines.getValue(decision.server), decision)
                is PlacementDecision.Refused -> refused(request, decision.retryAfterMillis.milliseconds)
            }
        }
        output.orders.forEach(::load)
    }

    private fun placed(
        request: Request,
        engine: Engine,
        decision: PlacementDecision.Placed,
    ) {
        val key = UseKey(request.instance, engine.name, request.adapter)
        inUse.merge(key, 1, Int::plus)
        val (lease, count) = placements[key] ?: (0L to 0L)
        placements[key] = if (decision.lease > lease) decision.lease to 1L else lease to count + 1
        if (request.adapter !in engine.loaded) {
            finish(key)
            return time.at(now + NOT_LOADED_RETRY) { demand(request) }
        }
        request.placedAt = now
        engine.queue.addLast(request)
        engine.running.merge(request.adapter, 1, Int::plus)
        startQueued(engine)
    }

    private fun refused(
        request: Request,
        retryAfter: Duration,
    ) {
        if (now + retryAfter - request.arrivedAt < options.patience) time.at(now + retryAfter) { demand(request) }
    }

    private fun startQueued(engine: Engine) {
        while (engine.active < options.batch && engine.queue.isNotEmpty()) {
            val request = engine.queue.removeFirst()
            account(engine)
            engine.active++
            request.wait = now - request.arrivedAt
            val incarnation = engine.incarnation
            val takes = options.tokenTime * request.tokens
            time.at(now + takes) { if (incarnation == engine.incarnation) ended(engine, request, takes) }
        }
    }

    private fun ended(
        engine: Engine,
        request: Request,
        time: Duration,
    ) {
        account(engine)
        engine.active--
        engine.running.merge(request.adapter, -1, Int::plus)
        finish(UseKey(request.instance, engine.name, request.adapter))
        policy.observeServiceTime(time)
        startQueued(engine)
    }

    private fun account(engine: Engine) {
        val elapsed = (now - engine.changedAt).toDouble(DurationUnit.SECONDS)
        if (engine.active > 0) engine.busyTime += elapsed
        engine.filledTime += elapsed * engine.active / options.batch
        engine.changedAt = now
    }

    private fun finish(key: UseKey) {
        inUse.merge(key, -1, Int::plus)
    }

    private fun renew(instance: String) {
        val keys = inUse.keys.filter { it.instance == instance }
        val uses =
            keys.map { key ->
                val (lease, count) = placements.getValue(key)
                AdapterUse(key.server, key.adapter, inUse.getValue(key), count, lease, released = inUse[key] == 0)
            }
        carryOut(policy.renewLeases(instance, uses, now))
        keys.filter { inUse[it] == 0 }.forEach(inUse::remove)
    }

    private fun announce(engine: Engine) {
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
        time.at(now + REPORT_LAG) { carryOut(policy.applyAnnouncement(announcement, now)) }
    }

    private fun load(order: Order.Load) {
        loads++
        loadsInFlight++
        val engine = engines.getValue(order.server)
        val evicted = order.evict
        if (evicted !=
            null
        ) {
            check((engine.running[evicted] ?: 0) == 0) { "seed $seed: $evicted is evicted from ${engine.name} while in use" }
        }
        engine.loaded -= listOfNotNull(evicted).toSet()
        val incarnation = engine.incarnation
        val takes = options.loadTime * maxOf(1.0, loadsInFlight / FULL_SPEED_LOADS)
        time.at(now + takes) {
            loadsInFlight--
            val succeeds = incarnation == engine.incarnation && random.nextDouble() >= options.failedLoads
            if (succeeds) engine.loaded += order.adapter
            carryOut(policy.recordLoadResult(order.server, order.adapter, succeeds, now))
        }
    }

    private fun restart(engine: Engine) {
        account(engine)
        val lost = engine.queue.toList()
        engine.incarnation++
        engine.loaded.clear()
        engine.queue.clear()
        engine.running.clear()
        engine.active = 0
        inUse.keys.removeAll { it.server == engine.name }
        lost.forEach(::demand)
    }

    private fun result(): ExperimentResult {
        engines.values.forEach(::account)
        val byWorkspace = requests.groupBy { it.workspace }.values.map { own -> quantile(own.map { it.wait ?: options.patience }) }
        val missed = requests.count { (it.wait ?: Duration.INFINITE) > options.waitTarget }
        return ExperimentResult(
            deployment = options.name,
            scenario = scenario,
            policy = policyName,
            seed = seed,
            requests = requests.size,
            stalledSecondsPerThousand = requests.sumOf { stalled(it).toDouble(DurationUnit.SECONDS) } * THOUSAND / requests.size,
            batchEfficiency = engines.values.sumOf { it.filledTime } / engines.values.sumOf { it.busyTime },
            worstWorkspaceWait = byWorkspace.max(),
            worstToBest = byWorkspace.max() / byWorkspace.min().coerceAtLeast(MIN_WAIT),
            refusedShare = requests.count { it.wait == null }.toDouble() / requests.size,
            missedTarget = missed.toDouble() / requests.size,
            loads = loads,
        )
    }

    private fun stalled(request: Request): Duration = request.placedAt?.let { it - request.arrivedAt } ?: options.patience

    private fun quantile(waits: List<Duration>): Double =
        waits.sorted()[((waits.size - 1) * QUANTILE).toInt()].toDouble(DurationUnit.SECONDS)

    private companion object {
        const val SHIFTED_RANKS = 20
        const val FULL_SPEED_LOADS = 8.0
        const val THOUSAND = 1000.0
        const val QUANTILE = 0.99
        const val MIN_WAIT = 0.001
        val REPORT_LAG = 200.milliseconds
        val NOT_LOADED_RETRY = 50.milliseconds
    }
}
