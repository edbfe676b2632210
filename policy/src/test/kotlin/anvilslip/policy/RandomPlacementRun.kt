package anvilslip.policy

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulates instances that use adapters on engines, with delayed and lost messages, engine restarts and leader changes. Checks
 * that no adapter in use is evicted, that no engine holds more adapters than slots, and that each request is answered once.
 */
internal class RandomPlacementRun(
    private val seed: Long,
) {
    private class Engine(
        val name: String,
    ) {
        var incarnation = 0
        val loaded = LinkedHashSet<AdapterVersion>()
        val running = HashMap<AdapterVersion, Int>()
    }

    private val random = Random(seed)
    private val options = PlacementOptions(loadsPerSecond = 10.0)
    private val engines = List(3) { Engine("e$it") }
    private val scheduled = ArrayList<Pair<Duration, () -> Unit>>()
    private val uses = HashMap<Triple<String, String, AdapterVersion>, Int>()
    private val placements = HashMap<Triple<String, String, AdapterVersion>, Pair<Long, Long>>()
    private val open = HashSet<Long>()
    private var placement = Placement(options, Duration.ZERO, hasPredecessor = false)
    private var now = Duration.ZERO
    private var requestCount = 0L
    var placed = 0
        private set
    var refused = 0
        private set

    fun run(time: Duration) {
        while (now < time) {
            now += 10.milliseconds
            val due = scheduled.filter { it.first <= now }
            scheduled.removeAll(due.toSet())
            due.forEach { it.second() }
            step()
        }
    }

    private fun after(
        millis: Int,
        action: () -> Unit,
    ) {
        scheduled += (now + millis.milliseconds) to action
    }

    private fun step() {
        carryOut(placement.tick(now))
        if (random.nextInt(10) == 0) sendRequest()
        if (random.nextInt(3000) == 0) replaceLeader()
        if (random.nextInt(2000) == 0) restart(engines.random(random))
        for (engine in engines) if (random.nextInt(40) == 0) announce(engine)
        for (instance in INSTANCES) if (random.nextInt(20) == 0) renew(instance)
    }

    private fun replaceLeader() {
        placement = Placement(options, now)
        placements.clear()
        open.clear()
        engines.forEach(::announce)
    }

    private fun restart(engine: Engine) {
        engine.incarnation++
        engine.loaded.clear()
        engine.running.clear()
        uses.keys.removeAll { it.second == engine.name }
    }

    private fun announce(engine: Engine) {
        val announcement =
            Announcement(
                server = engine.name,
                incarnation = "${engine.incarnation}",
                kind = BackendKind.MODEL,
                serves = "base",
                address = "127.0.0.1:1",
                zone = "z",
                slots = SLOTS,
                batch = 4,
                loaded = engine.loaded.toList(),
                running = engine.running.filterValues { it > 0 },
            )
        val target = placement
        after(random.nextInt(0, 200)) { if (target === placement) carryOut(target.applyAnnouncement(announcement, now)) }
    }

    private fun sendRequest() {
        val adapter = AdapterVersion("a${random.nextInt(12)}", "v1")
        val id = ++requestCount
        open += id
        val wait = random.nextInt(100, 3000).milliseconds
        carryOut(placement.place(PlacementRequest(id, INSTANCES.random(random), "w", "base", adapter, now + wait, 1.0), now))
    }

    private fun carryOut(output: PlacementOutput) {
        for (answer in output.answers) applyAnswer(answer)
        for (order in output.orders) executeOrder(order)
    }

    private fun applyAnswer(answer: PlacementOutput.Answer) {
        check(open.remove(answer.request.id)) { fail("request ${answer.request.id} was answered twice") }
        val decision = answer.decision
        if (decision !is PlacementDecision.Placed) {
            refused++
            return
        }
        placed++
        val leader = placement
        val decidedAt = now
        val key = Triple(answer.request.instance, decision.server, answer.request.adapter)
        after(random.nextInt(0, 400)) { start(key, leader, decision.lease, decidedAt) }
    }

    private fun start(
        key: Triple<String, String, AdapterVersion>,
        leader: Placement,
        lease: Long,
        decidedAt: Duration,
    ) {
        if (leader === placement) countPlacement(key, lease)
        if (now >= decidedAt + options.useLease) return
        val engine = engines.first { it.name == key.second }
        if (key.third !in engine.loaded) return
        uses.merge(key, 1, Int::plus)
        engine.running.merge(key.third, 1, Int::plus)
        val incarnation = engine.incarnation
        after(random.nextInt(20, 6000)) {
            if (incarnation == engine.incarnation) {
                uses.merge(key, -1, Int::plus)
                engine.running.merge(key.third, -1, Int::plus)
            }
        }
    }

    private fun countPlacement(
        key: Triple<String, String, AdapterVersion>,
        lease: Long,
    ) {
        val (known, count) = placements[key] ?: (0L to 0L)
        if (lease > known) {
            placements[key] = lease to 1L
        } else if (lease == known) {
            placements[key] = known to count + 1
        }
    }

    private fun renew(instance: String) {
        if (random.nextInt(10) == 0) return
        val keys = (uses.keys + placements.keys).filter { it.first == instance }
        val report =
            keys.map { key ->
                val inFlight = uses[key] ?: 0
                val (lease, count) = placements[key] ?: (0L to 0L)
                AdapterUse(key.second, key.third, inFlight, count, lease, released = inFlight == 0)
            }
        val target = placement
        after(random.nextInt(0, 100)) { if (target === placement) carryOut(target.renewLeases(instance, report, now)) }
    }

    private fun executeOrder(order: Order.Load) {
        val engine = engines.first { it.name == order.server }
        val target = placement
        val incarnation = engine.incarnation
        after(random.nextInt(0, 20)) {
            val evicted = order.evict
            if (evicted != null && incarnation == engine.incarnation) {
                check((engine.running[evicted] ?: 0) == 0) { fail("adapter $evicted was evicted from engine ${engine.name} while in use") }
                engine.loaded -= evicted
            }
        }
        after(random.nextInt(200, 600)) {
            val succeeds = incarnation == engine.incarnation && engine.loaded.size < SLOTS && random.nextInt(10) > 0
            if (succeeds) engine.loaded += order.adapter
            if (target === placement) carryOut(target.recordLoadResult(order.server, order.adapter, succeeds, now))
        }
    }

    private fun fail(problem: String) = "seed $seed at $now: $problem"

    private companion object {
        val INSTANCES = listOf("i0", "i1", "i2")
        const val SLOTS = 3
    }
}
