package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests on routes that were added later being served less often than those on the first routes: by a leader whose
 * document does not have their service yet, one that has just been elected, or one that has never seen their adapter.
 */
class AddedServiceSpec :
    DescribeSpec({
        val model = ModelProfile("m", 100.0, 1.seconds, 1.0)
        val engine = EngineProfile(64, 100_000, listOf(model), weightsMb = 200.0, adapterSlots = 2, loadsPerSecond = 2.0)

        fun configuration(
            version: Long,
            vararg services: BackendService,
        ) = ServingConfiguration(version, services = services.associateBy { it.name })

        val first = configuration(1, BackendService("first", 100))
        val added = configuration(2, BackendService("first", 100), BackendService("app", 100), BackendService("llm", 100, engine))

        fun plain(
            id: String,
            service: String = "app",
        ) = ServerReport(id, service, "$id:80", "z1", ServerPhase.READY, 1, 1, 2)

        fun engineReport(
            id: String,
            adapters: Map<String, Long> = emptyMap(),
        ) = ServerReport(id, "llm", "$id:80", "z1", ServerPhase.READY, 1, 1, 64, listOf(LoadedModel("m", adapters)))

        val servers = listOf(plain("f", "first"), plain("p"), engineReport("e1", mapOf("a1" to 1L)), engineReport("e2"))

        fun Dispatcher.queryEngines(now: Duration) {
            for (server in enginesToQuery(now)) recordInventory(server.id, EngineInventory(0, server.models.orEmpty()), now)
        }

        fun leader(
            document: ServingConfiguration,
            hasPredecessor: Boolean = false,
        ) = Dispatcher(DispatchOptions(), Duration.ZERO, hasPredecessor).apply {
            configure(document, emptyMap(), Duration.ZERO)
            updateServers(servers, Duration.ZERO)
            queryEngines(Duration.ZERO)
        }

        var number = 0L

        fun request(
            service: String,
            adapter: String? = null,
            model: String? = adapter?.let { "m" },
            targetMillis: Long = 1000,
            priority: Int = 1,
        ) = DispatchRequest(
            entry = "e",
            number = ++number,
            service = service,
            workspace = "w",
            charge = 10,
            zone = "z1",
            targetMillis = targetMillis,
            remainingMillis = 5000,
            model = model,
            adapter = adapter,
            promptTokens = if (model == null) 0 else 500,
            priority = priority,
        )

        fun Admission.decision() = shouldBeInstanceOf<Admission.Decided>().decision

        fun Admission.shouldSend() = decision().shouldBeInstanceOf<DispatchDecision.Send>()

        describe("a leader whose document does not have the service of an added route yet") {
            it("sends plain requests, and requests for adapters that a server holds, at once") {
                val leader = leader(first)
                leader.admit(request("app"), Duration.ZERO).shouldSend()
                leader.admit(request("llm", adapter = "a1"), Duration.ZERO).shouldSend()
                leader.admit(request("llm", model = "m"), Duration.ZERO).shouldSend()
            }

            it("orders other adapters as soon as it has the document and the engines have been queried") {
                val leader = leader(first)
                val refusal = leader.admit(request("llm", adapter = "a2"), Duration.ZERO).decision()
                refusal.shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.LOADING
                leader.configure(added, emptyMap(), 100.milliseconds)
                leader.queryEngines(200.milliseconds)
                leader.admit(request("llm", adapter = "a2"), 200.milliseconds).shouldBeInstanceOf<Admission.Load>()
            }
        }

        describe("a leader that has the document") {
            for (hasPredecessor in listOf(false, true)) {
                val kind = if (hasPredecessor) "that has just been elected" else "of the first term"
                it("sends plain requests with a low priority and a short target like others, $kind") {
                    val leader = leader(added, hasPredecessor)
                    for (service in listOf("first", "app", "llm")) {
                        leader.admit(request(service, priority = 9, targetMillis = 100), Duration.ZERO).shouldSend()
                        leader.admit(request(service, priority = 0), Duration.ZERO).shouldSend()
                    }
                }

                it("sends requests for adapters that a server holds at once, $kind") {
                    leader(added, hasPredecessor).admit(request("llm", adapter = "a1"), Duration.ZERO).shouldSend()
                }
            }

            it("loads adapters for which nobody has asked before while others are in constant use") {
                val leader = leader(added)
                var now = Duration.ZERO
                val starts = HashMap<String, Int>()
                repeat(ROUNDS) { round ->
                    val asked = if (round % 2 == 0) "a${round / 2 % 3 + 1}" else "b${round / 2 % 3 + 1}"
                    val demand = request("llm", adapter = asked)
                    val admission = leader.admit(demand, now)
                    if (admission is Admission.Load) {
                        leader.loadSteps(admission.order)?.evict?.let { leader.recordEviction(admission.order, it, round.toLong()) }
                        leader.recordLoadStarted(admission.order, round.toLong() + 1, now)
                    }
                    val isStarted = admission is Admission.Load || (admission as? Admission.Decided)?.decision is DispatchDecision.Send
                    if (isStarted) starts.merge(asked.take(1), 1, Int::plus)
                    if (admission is Admission.Decided) leader.applyEvents("e", listOf(RequestEvent(demand.number, RequestStep.ENDED)), now)
                    now += 100.milliseconds
                }
                val old = starts.getValue("a").toDouble()
                (starts.getValue("b") > old / 2) shouldBe true
            }
        }
    }) {
    private companion object {
        const val ROUNDS = 400
    }
}
