package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An [AdmissionControl] of [engines] engines that run [slots] requests each, in virtual time. */
internal class AdmissionHarness(
    engines: Int = 32,
    slots: Int = 1,
    options: AdmissionOptions = AdmissionOptions(),
    workspaces: List<ServingWorkspace> = emptyList(),
) {
    private val profile = EngineProfile(slots, 100_000, listOf(ModelProfile("m", 100.0, 1.seconds, 1.0)), 200.0, 2, 2.0)
    private val reports =
        List(engines) { ServerReport("s$it", "llm", "s$it:80", "z1", ServerPhase.READY, 1, 1, 64, listOf(LoadedModel("m", emptyMap()))) }
    val dispatcher = Dispatcher(DispatchOptions(), Duration.ZERO, hasPredecessor = false)
    val control: AdmissionControl
    var now = 1.seconds
    private var lastNumber = 0L
    private val running = ArrayDeque<RequestKey>()

    init {
        val services = mapOf("llm" to BackendService("llm", 100, profile))
        dispatcher.configure(ServingConfiguration(1, services = services, workspaces = workspaces), emptyMap(), Duration.ZERO)
        dispatcher.updateServers(reports, Duration.ZERO)
        for (server in dispatcher.enginesToQuery(Duration.ZERO)) {
            dispatcher.recordInventory(server.id, EngineInventory(0, server.models.orEmpty()), Duration.ZERO)
        }
        control = AdmissionControl(dispatcher, options)
    }

    fun request(
        priority: Int = 0,
        tokens: Int = 1_000,
        workspace: String? = null,
        adapter: String? = null,
        target: Duration = 1.seconds,
        remaining: Duration = 20.seconds,
    ) = DispatchRequest(
        "e",
        ++lastNumber,
        "llm",
        workspace,
        0,
        "z1",
        target.inWholeMilliseconds,
        remaining.inWholeMilliseconds,
        "m",
        adapter,
        tokens,
        priority = priority,
    )

    /** Asks for [request] now; null if it waits. */
    fun ask(request: DispatchRequest): DispatchDecision? =
        (control.ask(request, now, now) as Admission.Decided?)?.decision?.also { recordIfSent(request.key, it) }

    /** Sends requests until all engines are busy. */
    fun fill(count: Int) = repeat(count) { check(ask(request()) is DispatchDecision.Send) }

    /** Lets [time] pass, wakes the queue, and returns its answers. */
    fun wakeAfter(time: Duration): List<AdmissionControl.Answer> {
        now += time
        return control.wake(now).onEach { answer -> recordIfSent(answer.key, (answer.admission as Admission.Decided).decision) }
    }

    /** Ends the request that has run longest. */
    fun endOne() = end(running.removeFirst())

    private fun end(key: RequestKey) {
        dispatcher.applyEvents(key.entry, listOf(RequestEvent(key.number, RequestStep.ENDED)), now)
        control.recordChange()
    }

    private fun recordIfSent(
        key: RequestKey,
        decision: DispatchDecision,
    ) {
        if (decision is DispatchDecision.Send) running += key
    }

    /** Answers questions again for as long as their requests wait, [rounds] times 10 ms, and ends one request in each round. */
    fun play(
        rounds: Int,
        arrivals: (round: Int) -> List<DispatchRequest>,
    ): List<DispatchRequest> {
        val open = HashMap<RequestKey, DispatchRequest>()
        val arrivedAt = HashMap<RequestKey, Duration>()
        val sent = ArrayList<DispatchRequest>()
        repeat(rounds) { round ->
            for (request in arrivals(round)) {
                arrivedAt[request.key] = now
                when (ask(request)) {
                    null -> open[request.key] = request
                    is DispatchDecision.Send -> sent += request
                    else -> Unit
                }
            }
            if (running.isNotEmpty()) endOne()
            for (answer in wakeAfter(10.milliseconds)) {
                val request = open.getValue(answer.key)
                when ((answer.admission as Admission.Decided).decision) {
                    is DispatchDecision.Send -> sent += checkNotNull(open.remove(answer.key))
                    is DispatchDecision.Refuse -> open -= answer.key
                    DispatchDecision.Wait -> ask(request.after(now - arrivedAt.getValue(answer.key)))
                }
            }
        }
        return sent
    }
}

internal val DispatchRequest.key: RequestKey get() = RequestKey(entry, number)

internal val AdmissionControl.Answer.decision: DispatchDecision get() = (admission as Admission.Decided).decision
