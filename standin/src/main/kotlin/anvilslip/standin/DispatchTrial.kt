package anvilslip.standin

import anvilslip.policy.Admission
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.Dispatcher
import anvilslip.policy.EngineInventory
import anvilslip.policy.EngineProfile
import anvilslip.policy.LoadOrder
import anvilslip.policy.LoadedModel
import anvilslip.policy.ModelProfile
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestStep
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.policy.ServingWorkspace
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Drives a [Dispatcher] against [EngineModel]s in virtual time, with the requests of a [DispatchLoad]. */
public class DispatchTrial(
    private val options: DispatchTrialOptions,
    private val load: DispatchLoad,
    private val seed: Long,
) {
    private class Engine(
        val model: EngineModel,
        var phase: ServerPhase = ServerPhase.READY,
        var startedAtMillis: Long = 1,
    )

    /** One attempt of a client's request. */
    private class Attempt(
        val request: TrialRequest,
        val number: Long,
        val askedAt: Duration,
        val exclude: Set<String> = emptySet(),
    )

    private val time = VirtualTime()
    private val store = WeightStoreModel()
    private val engines =
        (0 until options.engines).map { Engine(EngineModel("engine-$it", "az${it % options.zones}", options.engine, store, time)) }
    private val byName = engines.associateBy { it.model.name }
    private val dispatcher = Dispatcher(options.dispatch, Duration.ZERO, hasPredecessor = false)
    private val clients = TrialClients(options, load, seed, time, ::ask)
    private var numbers = 0L
    private var sequence = 0L

    /** Runs to the end and returns the figures. */
    public fun run(): DispatchTrialResult {
        dispatcher.configure(configuration(), emptyMap(), Duration.ZERO)
        report()
        time.every(TICK, ::tick)
        load.leaveAt?.let { time.at(it) { leave() } }
        load.restartAt?.let { time.at(it) { restart() } }
        clients.start()
        time.runUntil(load.duration + PATIENCE)
        return clients.result(store.loads, engines.sumOf { it.model.tokensRead })
    }

    private fun configuration(): ServingConfiguration {
        val engine =
            EngineProfile(
                slots = options.engine.slots,
                kvCapacity = options.engine.memoryTokens,
                models = listOf(ModelProfile(MODEL, 100.0, 1.seconds, 1.0)),
                weightsMb = 200.0,
                adapterSlots = options.engine.adapterPlaces,
                loadsPerSecond = 2.0,
            )
        val workspaces =
            clients.limits().mapIndexed {
                i,
                rate,
                ->
                ServingWorkspace("w$i", listOf("k$i"), ratePerSecond = rate, burst = rate)
            }
        return ServingConfiguration(1, services = mapOf(SERVICE to BackendService(SERVICE, 500, engine)), workspaces = workspaces)
    }

    private fun report() {
        val reports =
            engines.filter { it.phase != ServerPhase.GONE }.map {
                val held = listOf(LoadedModel(MODEL, it.model.adapters.associateWith { 1L }))
                val model = it.model
                ServerReport(model.name, SERVICE, "${model.name}:80", model.zone, it.phase, it.startedAtMillis, ++sequence, 64, held)
            }
        dispatcher.updateServers(reports, time.now)
    }

    private fun tick() {
        report()
        dispatcher.expire(time.now)
        for (server in dispatcher.enginesToQuery(time.now)) {
            val engine = byName.getValue(server.id).model
            val held = listOf(LoadedModel(MODEL, engine.adapters.associateWith { 1L }))
            dispatcher.recordInventory(server.id, EngineInventory(engine.orders, held, mapOf(MODEL to engine.pending)), time.now)
        }
    }

    private fun leave() {
        val leaving = engines.take(load.leaving)
        leaving.forEach { it.phase = ServerPhase.DRAINING }
        time.at(time.now + NOTICE) {
            for (engine in leaving) {
                engine.phase = ServerPhase.GONE
                engine.model.restart()
            }
        }
    }

    private fun restart() {
        for (engine in engines.take(load.restarting)) {
            engine.model.restart()
            engine.startedAtMillis++
        }
    }

    /** A client sends [request]. */
    private fun ask(request: TrialRequest) = admit(Attempt(request, ++numbers, time.now))

    private fun demand(attempt: Attempt): DispatchRequest {
        val request = attempt.request
        val waited = time.now - attempt.askedAt
        return DispatchRequest(
            entry = ENTRY,
            number = attempt.number,
            service = SERVICE,
            workspace = "w${request.workspace}",
            charge = if (attempt.exclude.isEmpty()) request.charge else 0,
            zone = request.zone,
            targetMillis = (options.target - waited).inWholeMilliseconds,
            remainingMillis = (request.deadline - time.now).inWholeMilliseconds,
            model = MODEL,
            adapter = request.adapter,
            promptTokens = request.promptTokens,
            exclude = attempt.exclude,
        )
    }

    private fun admit(attempt: Attempt) {
        val now = time.now
        when (val admission = dispatcher.admit(demand(attempt), now)) {
            is Admission.Load -> order(attempt, admission.order)
            is Admission.AwaitOrder -> time.at(now + ORDER_TIME) { admit(attempt) }
            is Admission.Decided -> decided(attempt, admission.decision)
        }
    }

    private fun decided(
        attempt: Attempt,
        decision: DispatchDecision,
    ) {
        val now = time.now
        when (decision) {
            is DispatchDecision.Send -> {
                time.at(now + decision.holdMillis.milliseconds + HOP) { send(attempt, decision.server) }
            }

            is DispatchDecision.Refuse -> {
                val waits = decision.reason == DispatchRefusal.LOADING && now - attempt.askedAt < options.placeWait
                if (waits) return time.at(now + PLACE_POLL) { admit(attempt) }
                clients.refused(attempt.request, decision.reason, decision.retryMillis.milliseconds)
            }
        }
    }

    private fun order(
        attempt: Attempt,
        order: LoadOrder,
    ) {
        val steps = dispatcher.loadSteps(order)
        val engine = byName.getValue(order.server).model
        val evict = steps?.evict
        if (steps == null || (evict != null && !engine.drop(evict))) {
            dispatcher.recordLoadFailed(order, time.now)
        } else {
            if (evict != null) dispatcher.recordEviction(order, evict, engine.orders)
            engine.load(order.adapter)
            dispatcher.recordLoadStarted(order, engine.orders, time.now)
        }
        time.at(time.now + ORDER_TIME) { admit(attempt) }
    }

    private fun send(
        attempt: Attempt,
        server: String,
    ) {
        val request = attempt.request
        val engine = byName.getValue(server)

        fun tell(step: RequestStep) =
            time.at(time.now + HOP * 2) { dispatcher.applyEvents(ENTRY, listOf(RequestEvent(attempt.number, step)), time.now) }
        val run =
            EngineRun(
                adapter = request.adapter,
                parts = request.parts,
                outputTokens = request.outputTokens,
                onFirst = {
                    tell(RequestStep.ANSWERING)
                    clients.answered(request, time.now + HOP)
                },
                onEnd = { tell(RequestStep.ENDED) },
            )
        if (engine.phase != ServerPhase.GONE && engine.model.submit(run)) return
        val step = if (engine.phase == ServerPhase.GONE) RequestStep.UNREACHABLE else RequestStep.NOT_HELD
        tell(step)
        val again = Attempt(request, ++numbers, attempt.askedAt, attempt.exclude + server)
        if (again.exclude.size < MAX_SENDINGS) time.at(time.now + HOP * 3) { admit(again) }
    }

    private companion object {
        const val ENTRY = "entry"
        const val SERVICE = "llm"
        const val MODEL = "m"
        const val MAX_SENDINGS = 3
        val TICK = 100.milliseconds
        val HOP = 4.milliseconds
        val ORDER_TIME = 3.milliseconds
        val PLACE_POLL = 25.milliseconds
        val NOTICE = 2.seconds

        /** Time after the end of the load in which answers still come. */
        val PATIENCE = 15.seconds
    }
}
