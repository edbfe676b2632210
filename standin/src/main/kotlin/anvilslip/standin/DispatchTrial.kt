package anvilslip.standin

import anvilslip.policy.Admission
import anvilslip.policy.AdmissionControl
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.Dispatcher
import anvilslip.policy.EngineInventory
import anvilslip.policy.EngineProfile
import anvilslip.policy.LimitGrant
import anvilslip.policy.LimitStatement
import anvilslip.policy.LoadOrder
import anvilslip.policy.LoadedModel
import anvilslip.policy.ModelProfile
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestKey
import anvilslip.policy.RequestStep
import anvilslip.policy.RunningRequest
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.policy.ServingWorkspace
import java.util.TreeMap
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates a [Dispatcher] with [EngineModel]s in virtual time under a [DispatchLoad]. */
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

    /** One attempt to serve a request; [exclude] lists the engines that failed to serve earlier attempts. */
    private class Attempt(
        val request: TrialRequest,
        val number: Long,
        val receivedAt: Duration,
        val exclude: Set<String> = emptySet(),
    ) {
        /** When the leader was asked last. */
        var askedAt = receivedAt

        /** Entry instance that asks for this attempt. */
        var entry = 0

        /** The entry instance no longer waits for the leader's answer. */
        var isGivenUp = false
        var isAnswered = false

        /** When the question was sent whose answer the entry instance waits for; null if there is none. */
        var sentAt: Duration? = null

        /** The entry instance knows an engine that holds the adapter. */
        var isDecidable = false
    }

    private val time = VirtualTime()
    private val store = WeightStoreModel(options.fullSpeedLoads)
    private val engines =
        (0 until options.engines).map {
            Engine(EngineModel("engine-$it", "az${it % options.zones}", options.engine, store, time, speedProfile(it)))
        }
    private val byName = engines.associateBy { it.model.name }
    private val dispatcher = Dispatcher(options.dispatch, Duration.ZERO, hasPredecessor = false)
    private val admissions = AdmissionControl(dispatcher, options.admission.copy(placeTimeout = options.placementWait))
    private val waiting = HashMap<RequestKey, Attempt>()
    private var wakeAt: Duration? = null
    private val clients = TrialClients(options, load, seed, time, ::sendFirstAttempt)
    private var lastAttemptNumber = 0L
    private var sequence = 0L
    private val predictionErrors = ArrayList<Double>()
    private val limitCheck = EngineLimitCheck(load)
    private val leader = options.leader?.let { LeaderModel(it, time, seed) }
    private val localRandom = Random(seed)
    private var reportedAdapters: Map<String, Set<String>> = emptyMap()
    private val refusals = TreeMap<String, Int>()
    private var notHeld = 0

    /** Runs the simulation and returns its metrics. */
    public fun run(): DispatchTrialResult {
        dispatcher.configure(configuration(), emptyMap(), Duration.ZERO)
        reportServers()
        time.every(TICK, ::tick)
        load.drainAt?.let { time.at(it) { drainEngines() } }
        load.restartAt?.let { time.at(it) { restartEngines() } }
        load.limitFrom?.let(::limitEngines)
        if (leader != null) {
            leader.start(load.duration)
            time.every(checkNotNull(options.leader).reportInterval) { reportedAdapters = byName.mapValues { it.value.model.adapters } }
        }
        clients.start()
        time.runUntil(load.duration + SETTLE_TIME)
        return clients.result(store.loads, engines.sumOf { it.model.prefilledTokens }).copy(
            busiestEngine = busiestEngine(),
            predictionError = predictionErrors.sorted()[predictionErrors.size / 2],
            requestsOverLimit = limitCheck.worstExcess(),
            lateAnswers = leader?.let { it.lateAnswers.toDouble() / maxOf(1, it.questions) } ?: 0.0,
            refusals = refusals,
            notHeld = notHeld,
        )
    }

    private fun speedProfile(engine: Int): SpeedProfile {
        val speed = options.engineSpeeds[engine % options.engineSpeeds.size]
        return SpeedProfile(speed, options.slowSpells, seed * ENGINE_SEEDS + engine)
    }

    private fun busiestEngine(): Double {
        val loads = engines.map { it.model.prefilledTokens / it.model.profile.speed }
        return loads.max() / loads.average()
    }

    private fun configuration(): ServingConfiguration {
        val engine =
            EngineProfile(
                slots = options.engine.slots,
                kvCapacity = options.engine.kvCapacityTokens,
                models = listOf(ModelProfile(MODEL, 100.0, 1.seconds, 1.0)),
                weightsMb = 200.0,
                adapterSlots = options.engine.adapterSlots,
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

    private fun reportServers() {
        val reports =
            engines.filter { it.phase != ServerPhase.GONE }.map {
                val loaded = listOf(LoadedModel(MODEL, it.model.adapters.associateWith { 1L }))
                val model = it.model
                ServerReport(model.name, SERVICE, "${model.name}:80", model.zone, it.phase, it.startedAtMillis, ++sequence, 64, loaded)
            }
        dispatcher.updateServers(reports, time.now)
    }

    private fun tick() {
        reportServers()
        dispatcher.expire(time.now)
        recordChange()
        for (server in dispatcher.enginesToQuery(time.now)) {
            val engine = byName.getValue(server.id).model
            val loaded = listOf(LoadedModel(MODEL, engine.adapters.associateWith { 1L }))
            dispatcher.recordInventory(server.id, EngineInventory(engine.ordersReceived, loaded, mapOf(MODEL to engine.pending)), time.now)
        }
    }

    private fun drainEngines() {
        val leaving = engines.take(load.drainingEngines)
        leaving.forEach { it.phase = ServerPhase.DRAINING }
        time.at(time.now + DRAIN_NOTICE) {
            for (engine in leaving) {
                engine.phase = ServerPhase.GONE
                engine.model.restart()
            }
        }
    }

    private fun restartEngines() {
        for (engine in engines.take(load.restartingEngines)) {
            engine.model.restart()
            engine.startedAtMillis++
        }
    }

    private fun limitEngines(from: Duration) {
        val limited = engines.take(load.limitedEngines).map { it.model }
        time.at(from) { limited.forEach { it.limit = load.limit } }
        time.at(load.limitTo) { limited.forEach { it.limit = null } }
    }

    /** Admits the first attempt for [request]. */
    private fun sendFirstAttempt(request: TrialRequest) = ask(Attempt(request, ++lastAttemptNumber, time.now))

    /** Has the entry instance of [attempt] ask the leader, and decide by itself if the answer is late. */
    private fun ask(attempt: Attempt) {
        val leader = leader ?: return admit(attempt)
        attempt.entry = leader.pickEntry()
        askLeader(leader, attempt)
    }

    private fun askLeader(
        leader: LeaderModel,
        attempt: Attempt,
    ) {
        if (leader.isAvoided(attempt.entry)) return decideLocally(leader, attempt)
        attempt.isDecidable = knownHolders(attempt).isNotEmpty()
        if (attempt.isDecidable && leader.isLate(attempt.entry)) return decideLocally(leader, attempt)
        val askedAt = time.now
        attempt.askedAt = askedAt
        attempt.isAnswered = false
        val isWaiting = { attempt.askedAt == askedAt && !attempt.isGivenUp && !attempt.isAnswered }
        val timing = checkNotNull(options.leader)
        time.at(askedAt + timing.turnTimeout) {
            if (isWaiting() && attempt.sentAt == null) {
                if (attempt.isDecidable) leader.recordTime(attempt.entry, askedAt)
                decideLocally(leader, attempt)
            }
        }
        time.at(askedAt + timing.answerTimeout) {
            if (isWaiting()) {
                endQuestion(leader, attempt)
                leader.recordLateAnswer(attempt.entry, askedAt, attempt.isDecidable)
                decideLocally(leader, attempt)
            }
        }
        leader.ask(attempt.entry, { isWaiting().also { if (it) attempt.sentAt = time.now } }) { admit(attempt) }
    }

    private fun endQuestion(
        leader: LeaderModel,
        attempt: Attempt,
    ) {
        attempt.sentAt?.let { leader.endQuestion(attempt.entry, it) }
        attempt.sentAt = null
    }

    /** Decides as an entry instance does without a leader: one of two random servers among those that listed the adapter. */
    private fun decideLocally(
        leader: LeaderModel,
        attempt: Attempt,
    ) {
        attempt.isGivenUp = true
        val holders = knownHolders(attempt)
        if (holders.isNotEmpty()) {
            val chosen = holders[localRandom.nextInt(holders.size)]
            reportSent(leader, attempt, chosen)
            time.at(time.now + NETWORK_DELAY) { sendToEngine(attempt, DispatchDecision.Send(chosen, chosen)) {} }
            return
        }
        val number = attempt.number
        reportSteps(attempt, listOf(RequestEvent(number, RequestStep.ENDED, null)))
        if (time.now - attempt.receivedAt <= attempt.request.target / 2) {
            time.at(time.now + LEADERLESS_POLL) {
                val next = Attempt(attempt.request, ++lastAttemptNumber, attempt.receivedAt, attempt.exclude)
                next.entry = attempt.entry
                askLeader(leader, next)
            }
        } else {
            refusals.merge("LOCAL_LOADING", 1, Int::plus)
            clients.handleRefusal(attempt.request, DispatchRefusal.LOADING, localRandom.nextLong(300, 1001).milliseconds)
        }
    }

    /** The engines that held the adapter of [attempt] when the entry instances learnt of it. */
    private fun knownHolders(attempt: Attempt): List<String> {
        val adapter = attempt.request.adapter
        return engines.map { it.model.name }.filter {
            it !in attempt.exclude && (adapter == null || adapter in reportedAdapters[it].orEmpty())
        }
    }

    /** Reports to the leader that [attempt] is sent to [server] by a decision of its entry instance. */
    private fun reportSent(
        leader: LeaderModel,
        attempt: Attempt,
        server: String,
    ) {
        val request = dispatchRequest(attempt)
        val running =
            RunningRequest(
                request.number,
                server,
                MODEL,
                request.adapter,
                request.promptTokens,
                request.remainingMillis,
                request.priority,
                request.workspace,
                request.charge,
            )
        leader.report(attempt.entry) { dispatcher.restoreRequests(ENTRY, listOf(running), time.now) }
    }

    private fun reportSteps(
        attempt: Attempt,
        events: List<RequestEvent>,
    ) {
        fun apply() {
            dispatcher.applyEvents(ENTRY, events, time.now)
            recordChange()
        }
        if (leader == null) apply() else leader.report(attempt.entry) { apply() }
    }

    /** The request as it is when the leader is asked. */
    private fun dispatchRequest(attempt: Attempt): DispatchRequest {
        val request = attempt.request
        val waited = attempt.askedAt - attempt.receivedAt
        return DispatchRequest(
            entry = ENTRY,
            number = attempt.number,
            service = SERVICE,
            workspace = "w${request.workspace}",
            charge = if (attempt.exclude.isEmpty()) request.charge else 0,
            zone = request.zone,
            targetMillis = (request.target - waited).inWholeMilliseconds,
            remainingMillis = (request.deadline - attempt.askedAt).inWholeMilliseconds,
            model = MODEL,
            adapter = request.adapter,
            promptTokens = request.promptTokens,
            exclude = attempt.exclude,
            priority = request.priority,
            maxOutputTokens = request.outputTokens * MAX_OUTPUT_FACTOR,
            lengthHint = request.lengthHint,
        )
    }

    private fun admit(
        attempt: Attempt,
        isReserved: Boolean = false,
    ) {
        val request = dispatchRequest(attempt)
        val admission = admissions.ask(request, attempt.askedAt, time.now, isReserved)
        if (admission == null) waiting[RequestKey(request.entry, request.number)] = attempt else handleAdmission(attempt, admission)
        scheduleWake()
    }

    private fun handleAdmission(
        attempt: Attempt,
        admission: Admission,
    ) = when (admission) {
        is Admission.Load -> executeOrder(attempt, admission.order)
        is Admission.AwaitOrder -> time.at(time.now + ORDER_TIME) { admit(attempt, isReserved = true) }
        is Admission.Decided -> handleDecision(attempt, admission.decision)
    }

    private fun scheduleWake() {
        val next = admissions.nextWakeAt ?: return
        if (wakeAt?.let { it <= next } == true) return
        wakeAt = next
        time.at(next) { if (wakeAt == next) wake() }
    }

    private fun wake() {
        wakeAt = null
        for (answer in admissions.wake(time.now)) waiting.remove(answer.key)?.let { handleAdmission(it, answer.admission) }
        scheduleWake()
    }

    private fun recordChange() {
        if (admissions.recordChange()) scheduleWake()
    }

    private fun handleDecision(
        attempt: Attempt,
        decision: DispatchDecision,
    ) {
        val now = time.now
        if (attempt.isGivenUp) return
        attempt.isAnswered = true
        leader?.let {
            endQuestion(it, attempt)
            it.recordAnswer(attempt.entry, attempt.askedAt, attempt.isDecidable)
        }
        when (decision) {
            is DispatchDecision.Send -> {
                val hold = decision.holdMillis.milliseconds
                val predicted = dispatcher.expectedAnswer(decision.server, attempt.request.promptTokens, hold, now)
                val sendAt = now + hold + NETWORK_DELAY
                time.at(sendAt) {
                    sendToEngine(attempt, decision) {
                        recordPrediction(
                            checkNotNull(predicted),
                            time.now + NETWORK_DELAY - now,
                        )
                    }
                }
            }

            is DispatchDecision.Refuse -> {
                refusals.merge(decision.reason.name, 1, Int::plus)
                clients.handleRefusal(attempt.request, decision.reason, decision.retryMillis.milliseconds)
            }

            DispatchDecision.Wait -> {
                time.at(now + NETWORK_DELAY * 2) {
                    attempt.askedAt = time.now
                    if (time.now < attempt.request.deadline) leader?.let { askLeader(it, attempt) } ?: admit(attempt)
                }
            }
        }
    }

    private fun executeOrder(
        attempt: Attempt,
        order: LoadOrder,
    ) {
        val leader = leader ?: return sendOrder(attempt, order)
        leader.handle(checkNotNull(options.leader).orderShare) { sendOrder(attempt, order) }
    }

    private fun sendOrder(
        attempt: Attempt,
        order: LoadOrder,
    ) {
        val steps = dispatcher.loadSteps(order)
        val engine = byName.getValue(order.server).model
        val evict = steps?.evict
        if (steps == null || (evict != null && !engine.evict(evict))) {
            dispatcher.recordLoadFailed(order, time.now)
        } else {
            if (evict != null) dispatcher.recordEviction(order, evict, engine.ordersReceived)
            engine.load(order.adapter)
            dispatcher.recordLoadStarted(order, engine.ordersReceived, time.now)
        }
        recordChange()
        time.at(time.now + ORDER_TIME) { admit(attempt, isReserved = true) }
    }

    private fun sendToEngine(
        attempt: Attempt,
        decision: DispatchDecision.Send,
        onFirstToken: () -> Unit,
    ) {
        val request = attempt.request
        val server = decision.server
        val engine = byName.getValue(server)
        if (engine.model.limit != null) limitCheck.recordArrival(server, time.now)

        fun recordStep(step: RequestStep) =
            time.at(time.now + NETWORK_DELAY * 2) {
                val outputTokens = request.outputTokens.takeIf { step == RequestStep.ENDED }
                reportSteps(attempt, listOf(RequestEvent(attempt.number, step, outputTokens)))
            }
        val engineRun =
            EngineRun(
                adapter = request.adapter,
                parts = request.parts,
                outputTokens = request.outputTokens,
                onFirstToken = {
                    onFirstToken()
                    reportLimit(engine, decision)
                    recordStep(RequestStep.ANSWERING)
                    clients.recordAnswer(request, time.now + NETWORK_DELAY)
                },
                onCompleted = { recordStep(RequestStep.ENDED) },
                priority = request.priority,
            )
        if (engine.phase != ServerPhase.GONE && engine.model.submit(engineRun)) return
        val step = if (engine.phase == ServerPhase.GONE) RequestStep.UNREACHABLE else RequestStep.NOT_HELD
        recordStep(step)
        notHeld++
        val retry = Attempt(request, ++lastAttemptNumber, attempt.receivedAt, attempt.exclude + server)
        if (retry.exclude.size < MAX_ATTEMPTS) time.at(time.now + NETWORK_DELAY * 3) { ask(retry) }
    }

    /** Reports what the answer of [engine] to the request that was sent by [decision] says about its limit. */
    private fun reportLimit(
        engine: Engine,
        decision: DispatchDecision.Send,
    ) {
        val grant = decision.limitSequence?.let { LimitGrant(TERM, it) }
        val statement = LimitStatement(engine.model.name, engine.startedAtMillis, engine.model.limit, grant)
        time.at(time.now + NETWORK_DELAY * 2) { dispatcher.recordLimits(listOf(statement), TERM) }
    }

    private fun recordPrediction(
        predicted: Duration,
        actual: Duration,
    ) {
        predictionErrors += abs(predicted / actual - 1)
    }

    private companion object {
        /** Distance between the random seeds of two simulations, so that no two engines share one. */
        const val ENGINE_SEEDS = 1_000
        const val ENTRY = "entry"
        const val SERVICE = "llm"
        const val TERM = 1L
        const val MODEL = "m"
        const val MAX_ATTEMPTS = 3

        /** Clients allow more output than answers use. */
        const val MAX_OUTPUT_FACTOR = 4
        val TICK = 100.milliseconds
        val NETWORK_DELAY = 4.milliseconds
        val ORDER_TIME = 3.milliseconds
        val LEADERLESS_POLL = 100.milliseconds
        val DRAIN_NOTICE = 2.seconds

        /** Time that the simulation runs on after the last arrival, so that outstanding requests can finish. */
        val SETTLE_TIME = 15.seconds
    }
}
