package anvilslip.policy

import anvilslip.state.AdapterName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DispatcherSpec :
    DescribeSpec({
        val engine =
            EngineProfile(
                slots = 64,
                kvCapacity = 100_000,
                models = listOf(ModelProfile("m", 100.0, 1.seconds, 1.0)),
                weightsMb = 200.0,
                adapterSlots = 2,
                loadsPerSecond = 2.0,
            )
        val configuration =
            ServingConfiguration(
                version = 1,
                services = mapOf("llm" to BackendService("llm", 100, engine), "app" to BackendService("app", 100)),
                workspaces = listOf(ServingWorkspace("w", listOf("k"), ratePerSecond = 1000.0, burst = 1000.0)),
            )

        fun server(
            id: String,
            adapters: Map<String, Long> = emptyMap(),
            phase: ServerPhase = ServerPhase.READY,
        ) = ServerReport(id, "llm", "$id:80", "z1", phase, 1, 1, 64, listOf(LoadedModel("m", adapters)))

        fun plain(id: String) = ServerReport(id, "app", "$id:80", "z1", ServerPhase.READY, 1, 1, 2)

        fun dispatcher(
            vararg servers: ServerReport,
            hasPredecessor: Boolean = false,
        ) = Dispatcher(DispatchOptions(), Duration.ZERO, hasPredecessor).apply {
            configure(configuration, emptyMap(), Duration.ZERO)
            updateServers(servers.toList(), Duration.ZERO)
            for (server in enginesToQuery(Duration.ZERO)) recordInventory(server.id, EngineInventory(0, server.models.orEmpty()), Duration.ZERO)
        }

        var number = 0L

        fun request(
            adapter: String? = null,
            service: String = "llm",
            tokens: Int = 1900,
            charge: Long = 0,
            exclude: Set<String> = emptySet(),
        ) = DispatchRequest(
            entry = "e",
            number = ++number,
            service = service,
            workspace = "w",
            charge = charge,
            zone = "z1",
            targetMillis = 1000,
            remainingMillis = 5000,
            model = if (service == "llm") "m" else null,
            adapter = adapter,
            promptTokens = if (service == "llm") tokens else 0,
            exclude = exclude,
        )

        fun Dispatcher.decide(
            request: DispatchRequest,
            now: Duration = Duration.ZERO,
        ): DispatchDecision = admit(request, now).shouldBeInstanceOf<Admission.Decided>().decision

        fun Dispatcher.load(
            adapter: String,
            now: Duration = Duration.ZERO,
        ): LoadOrder {
            val order = admit(request(adapter), now).shouldBeInstanceOf<Admission.Load>().order
            val steps = checkNotNull(loadSteps(order))
            steps.evict?.let { recordEviction(order, it, steps.ordersTaken + 1) }
            recordLoadStarted(order, steps.ordersTaken + if (steps.evict == null) 1 else 2, now)
            return order
        }

        describe("requests without an adapter") {
            it("go where the fewest prompt tokens wait to be read") {
                val dispatcher = dispatcher(server("a"), server("b"))
                val sent = (1..4).map { (dispatcher.decide(request()) as DispatchDecision.Send).server }
                sent.groupingBy { it }.eachCount() shouldBe mapOf("a" to 2, "b" to 2)
            }

            it("are refused at once, with when to come back, when no answer can begin in time") {
                val dispatcher = dispatcher(server("a"))
                val decisions = (1..20).map { dispatcher.decide(request()) }
                val refused = decisions.filterIsInstance<DispatchDecision.Refuse>()
                refused.first().reason shouldBe DispatchRefusal.BUSY
                (refused.first().retryMillis > 0) shouldBe true
                decisions.takeWhile { it is DispatchDecision.Send }.size shouldBe 10
            }

            it("are sent again once prompts have been read") {
                val dispatcher = dispatcher(server("a"))
                val first = request()
                dispatcher.decide(first)
                repeat(20) { dispatcher.decide(request()) }
                dispatcher.applyEvents("e", listOf(RequestEvent(first.number, RequestStep.ANSWERING)), 100.milliseconds)
                dispatcher.decide(request(), 100.milliseconds).shouldBeInstanceOf<DispatchDecision.Send>()
            }

            it("never go to a server that is draining, gone or excluded") {
                val dispatcher = dispatcher(server("a", phase = ServerPhase.DRAINING), server("b"), server("c"))
                dispatcher.decide(request(exclude = setOf("b"))) shouldBe DispatchDecision.Send("c", "c:80")
                dispatcher.updateServers(listOf(server("a", phase = ServerPhase.DRAINING)), Duration.ZERO)
                dispatcher.decide(request()).shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.NO_SERVER
            }
        }

        describe("an adapter that a server holds") {
            it("is used there while that server answers soon, though another is idle") {
                val dispatcher = dispatcher(server("a", mapOf("x" to 1L)), server("b"))
                val sent = (1..3).map { dispatcher.decide(request("x")) as DispatchDecision.Send }
                sent.map { it.server }.toSet() shouldBe setOf("a")
            }

            it("is copied once its server would answer much later than another with the time of the load") {
                val dispatcher = dispatcher(server("a", mapOf("x" to 1L)), server("b"))
                val admissions = (1..12).map { dispatcher.admit(request("x"), Duration.ZERO) }
                admissions
                    .filterIsInstance<Admission.Load>()
                    .first()
                    .order.server shouldBe "b"
            }
        }

        describe("an adapter that no server holds") {
            it("is loaded once, and those who ask meanwhile wait for the same load") {
                val dispatcher = dispatcher(server("a"))
                val order = dispatcher.admit(request("x"), Duration.ZERO).shouldBeInstanceOf<Admission.Load>().order
                dispatcher.admit(request("x"), Duration.ZERO) shouldBe Admission.AwaitOrder("a", "x")
                dispatcher.recordLoadStarted(order, 1, Duration.ZERO)
                dispatcher.decide(request("x")).shouldBeInstanceOf<DispatchDecision.Send>().holdMillis shouldBe 270
            }

            it("takes the place of the one unused for longest") {
                val dispatcher = dispatcher(server("a"))
                dispatcher.load("x", Duration.ZERO)
                dispatcher.load("y", 1.seconds)
                dispatcher.load("z", 5.seconds).evict shouldBe "x"
            }

            it("never takes the place of one in use") {
                val dispatcher = dispatcher(server("a"))
                dispatcher.load("x")
                dispatcher.load("y")
                dispatcher.decide(request("x"), 1.seconds)
                dispatcher.decide(request("y"), 1.seconds)
                dispatcher.decide(request("z"), 2.seconds).shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.LOADING
            }

            it("is not loaded beyond the places of the server, whatever a survey brings to light") {
                val dispatcher = dispatcher(server("a"))
                val order = dispatcher.admit(request("x"), Duration.ZERO).shouldBeInstanceOf<Admission.Load>().order
                dispatcher.recordInventory("a", EngineInventory(7, listOf(LoadedModel("m", mapOf("p" to 1, "q" to 1)))), Duration.ZERO)
                dispatcher.loadSteps(order) shouldBe null
            }

            it("is ordered by a new leader only after the orders of the one before must have ended") {
                val dispatcher = dispatcher(server("a"), hasPredecessor = true)
                dispatcher.decide(request("x"), 1.seconds).shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.LOADING
                dispatcher.enginesToQuery(2.seconds) shouldBe emptyList()
                dispatcher.allowOrders()
                dispatcher.enginesToQuery(3.seconds).map { it.id } shouldContainExactly listOf("a")
            }

            it("is used by a new leader at once where its server says that it holds it") {
                val dispatcher = dispatcher(server("a", mapOf("x" to 1)), hasPredecessor = true)
                dispatcher.decide(request("x")) shouldBe DispatchDecision.Send("a", "a:80")
            }

            it("is asked of a server again after an order failed, once its state is known") {
                val dispatcher = dispatcher(server("a"))
                val order = dispatcher.admit(request("x"), Duration.ZERO).shouldBeInstanceOf<Admission.Load>().order
                dispatcher.recordLoadFailed(order, Duration.ZERO)
                dispatcher.decide(request("x")).shouldBeInstanceOf<DispatchDecision.Refuse>()
                dispatcher.enginesToQuery(1.seconds).map { it.id } shouldContainExactly listOf("a")
            }
        }

        describe("a version that was named") {
            it("is loaded in the place of the old one, and requests say which they need") {
                val dispatcher = dispatcher(server("a", mapOf("x" to 1)))
                dispatcher.configure(configuration, mapOf(AdapterName("m", "x") to 2L), Duration.ZERO)
                val order = dispatcher.load("x", 1.seconds)
                order.version shouldBe 2
                order.evict shouldBe null
                dispatcher.decide(request("x"), 2.seconds).shouldBeInstanceOf<DispatchDecision.Send>().version shouldBe 2
            }
        }

        describe("an engine that restarted empty") {
            val empty = server("a").copy(models = emptyList())

            it("is given the base model once, and is used as soon as it says that it holds it") {
                val dispatcher = dispatcher(empty)
                dispatcher.decide(request()).shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.LOADING
                val order = checkNotNull(dispatcher.nextModelOrder(Duration.ZERO))
                order.model shouldBe "m"
                dispatcher.recordModelOrder(order, taken = true, now = Duration.ZERO)
                dispatcher.nextModelOrder(2.seconds) shouldBe null
                dispatcher.enginesToQuery(2.seconds).map { it.id } shouldContainExactly listOf("a")
                dispatcher.recordInventory("a", EngineInventory(1, listOf(LoadedModel("m"))), 2.seconds)
                dispatcher.updateServers(listOf(empty), 2.seconds)
                dispatcher.nextModelOrder(2.seconds) shouldBe null
                dispatcher.decide(request(), 2.seconds).shouldBeInstanceOf<DispatchDecision.Send>()
            }

            it("is given it again when the first order came to nothing") {
                val dispatcher = dispatcher(empty)
                dispatcher.recordModelOrder(checkNotNull(dispatcher.nextModelOrder(Duration.ZERO)), taken = true, now = Duration.ZERO)
                dispatcher.recordInventory("a", EngineInventory(1, emptyList()), 2.seconds)
                checkNotNull(dispatcher.nextModelOrder(2.seconds)).expectedOrders shouldBe 1
            }
        }

        describe("the limit of a workspace") {
            it("holds requests back for a while and refuses those that would wait for longer") {
                val dispatcher = dispatcher(plain("p"))
                dispatcher.decide(request(service = "app", charge = 1000)).shouldBeInstanceOf<DispatchDecision.Send>().holdMillis shouldBe 0
                dispatcher.decide(request(service = "app", charge = 400)).shouldBeInstanceOf<DispatchDecision.Send>().holdMillis shouldBe 400
                val refusal = dispatcher.decide(request(service = "app", charge = 200)).shouldBeInstanceOf<DispatchDecision.Refuse>()
                refusal.reason shouldBe DispatchRefusal.OVER_LIMIT
            }

            it("is given back for a request that did not run") {
                val dispatcher = dispatcher(plain("p"))
                val first = request(service = "app", charge = 1000)
                dispatcher.decide(first)
                dispatcher.applyEvents("e", listOf(RequestEvent(first.number, RequestStep.NOT_RUN)), Duration.ZERO)
                dispatcher.decide(request(service = "app", charge = 1000)).shouldBeInstanceOf<DispatchDecision.Send>().holdMillis shouldBe 0
            }
        }

        describe("a request whose end is never told") {
            it("is forgotten after its deadline") {
                val dispatcher = dispatcher(server("a"))
                dispatcher.decide(request())
                dispatcher.expire(5.seconds)
                dispatcher.runningRequests shouldBe 1
                dispatcher.expire(7.seconds)
                dispatcher.runningRequests shouldBe 0
            }
        }
    })
