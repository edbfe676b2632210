package anvilslip.policy

import java.util.PriorityQueue
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A run in virtual time of a leader whose orders take [orderTime] to be sent and answered. Its [engines] get [requestsPerSecond] requests,
 * most of which name one of many adapters, of which few are requested often. The weight store carries [storeLoads] loads at full speed.
 */
internal class LateOrdersTrial(
    private val engines: Int,
    private val requestsPerSecond: Double,
    private val orderTime: Duration,
    private val storeLoads: Int,
    seed: Int,
) {
    private class Event(
        val at: Duration,
        val action: () -> Unit,
    )

    private val random = Random(seed)
    private val dispatcher = Dispatcher(DispatchOptions(minQueueEngines = Int.MAX_VALUE), Duration.ZERO, hasPredecessor = false)
    private val admissions = AdmissionControl(dispatcher)
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private val waiting = HashMap<RequestKey, DispatchRequest>()
    private val adapterShares = (1..ADAPTERS).runningFold(0.0) { sum, rank -> sum + rank.toDouble().pow(-SKEW) }
    private var now = Duration.ZERO
    private var wakeAt: Duration? = null
    private var lastNumber = 0L

    var sent = 0
        private set
    var refused = 0
        private set

    private val readyAt = HashMap<Pair<String, String>, Duration>()
    private var inTransit = 0

    /** Largest number of loads that the weight store carried at the same time. */
    var maxInTransit = 0
        private set

    /** Requests that were sent to an engine that did not hold their adapter yet. */
    var sentTooEarly = 0
        private set

    /** Lets requests arrive for [duration], and runs until all have ended. */
    fun run(duration: Duration) {
        dispatcher.configure(configuration(), emptyMap(), now)
        dispatcher.updateServers(reports(), now)
        for (server in dispatcher.enginesToQuery(now)) {
            dispatcher.recordInventory(server.id, EngineInventory(0, server.models.orEmpty()), now)
        }
        scheduleArrival(duration)
        while (true) {
            val event = events.poll() ?: break
            now = event.at
            event.action()
        }
    }

    private fun reports() =
        (0 until engines).map {
            ServerReport("s$it", "llm", "s$it:80", "z${it % ZONES}", ServerPhase.READY, 1, 1, SLOTS, listOf(LoadedModel("m", emptyMap())))
        }

    private fun configuration(): ServingConfiguration {
        val engine = EngineProfile(SLOTS, 120_000, listOf(ModelProfile("m", 100.0, 1.seconds, 1.0)), 200.0, 4, 2.0)
        return ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 700, engine)))
    }

    private fun scheduleArrival(end: Duration) {
        val pause = (2 * random.nextDouble() / requestsPerSecond).seconds
        if (now + pause > end) return
        at(now + pause) {
            ask(newRequest())
            scheduleArrival(end)
        }
    }

    private fun newRequest() =
        DispatchRequest(
            entry = "e",
            number = ++lastNumber,
            service = "llm",
            workspace = null,
            charge = 0,
            zone = "z${random.nextInt(ZONES)}",
            targetMillis = 1000,
            remainingMillis = 5000,
            model = "m",
            adapter = if (random.nextDouble() < ADAPTER_SHARE) pickAdapter() else null,
            promptTokens = random.nextInt(600, 3001),
        )

    private fun pickAdapter(): String {
        val draw = random.nextDouble() * adapterShares.last()
        val rank = adapterShares.binarySearch(draw).let { if (it < 0) -it - 1 else it }
        return "a$rank"
    }

    private fun ask(
        request: DispatchRequest,
        isReserved: Boolean = false,
    ) {
        val admission = admissions.ask(request, now, now, isReserved)
        if (admission == null) waiting[RequestKey(request.entry, request.number)] = request else handle(request, admission)
        scheduleWake()
    }

    private fun handle(
        request: DispatchRequest,
        admission: Admission,
    ) {
        when (admission) {
            is Admission.Load -> at(now + orderTime) { load(request, admission.order) }
            is Admission.AwaitOrder -> at(now + orderTime) { ask(request, isReserved = true) }
            is Admission.Decided -> handle(request, admission.decision)
        }
    }

    private fun handle(
        request: DispatchRequest,
        decision: DispatchDecision,
    ) {
        if (decision is DispatchDecision.Send) at(now + decision.holdMillis.milliseconds) { serve(request, decision.server) } else refused++
    }

    private fun load(
        request: DispatchRequest,
        order: LoadOrder,
    ) {
        val steps = dispatcher.loadSteps(order)
        if (steps == null) {
            dispatcher.recordLoadFailed(order, now)
        } else {
            steps.evict?.let { dispatcher.recordEviction(order, it, steps.ordersTaken + 1) }
            dispatcher.recordLoadStarted(order, steps.ordersTaken + if (steps.evict == null) 1 else 2, now)
            beginTransit(order)
        }
        admissions.recordChange()
        ask(request, isReserved = true)
    }

    private fun beginTransit(order: LoadOrder) {
        inTransit++
        maxInTransit = maxOf(maxInTransit, inTransit)
        val end = now + LOAD_TIME * maxOf(1.0, inTransit.toDouble() / storeLoads)
        readyAt[order.server to order.adapter] = end
        at(end) { inTransit-- }
    }

    private fun serve(
        request: DispatchRequest,
        server: String,
    ) {
        sent++
        if (readyAt[server to request.adapter.orEmpty()].let { it != null && it > now }) sentTooEarly++
        at(now + ANSWER_TIME) { report(request, RequestStep.ANSWERING) }
        at(now + ANSWER_TIME + random.nextLong(MAX_DECODE_MILLIS).milliseconds) { report(request, RequestStep.ENDED) }
    }

    private fun report(
        request: DispatchRequest,
        step: RequestStep,
    ) {
        dispatcher.applyEvents(request.entry, listOf(RequestEvent(request.number, step)), now)
        admissions.recordChange()
        scheduleWake()
    }

    private fun scheduleWake() {
        val next = admissions.nextWakeAt ?: return
        if (wakeAt?.let { it <= next } == true) return
        wakeAt = next
        at(maxOf(next, now)) {
            wakeAt = null
            val answers = admissions.wake(now)
            for (answer in answers) waiting.remove(answer.key)?.let { handle(it, answer.admission) }
            scheduleWake()
        }
    }

    private fun at(
        time: Duration,
        action: () -> Unit,
    ) {
        events += Event(time, action)
    }

    private companion object {
        const val ADAPTERS = 10_000
        const val SKEW = 1.2
        const val ADAPTER_SHARE = 0.95
        const val SLOTS = 64
        const val ZONES = 3
        const val MAX_DECODE_MILLIS = 1_200L
        val LOAD_TIME = 250.milliseconds
        val ANSWER_TIME = 250.milliseconds
    }
}
