package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a leader that sends new work to servers of an availability zone under evacuation. */
class ZoneEvacuationSpec :
    DescribeSpec({
        val engine =
            EngineProfile(
                slots = 64,
                kvCapacity = 100_000,
                models = listOf(ModelProfile("m", 100.0, 1.seconds, 1.0)),
                weightsMb = 200.0,
                adapterSlots = 2,
                loadsPerSecond = 100.0,
            )
        val configuration =
            ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 100, engine), "app" to BackendService("app", 100)))

        fun server(
            id: String,
            zone: String,
            adapters: Map<String, Long> = emptyMap(),
        ) = ServerReport(id, "llm", "$id:80", zone, ServerPhase.READY, 1, 1, 64, listOf(LoadedModel("m", adapters)))

        fun emptyServer(
            id: String,
            zone: String,
        ) = ServerReport(id, "llm", "$id:80", zone, ServerPhase.READY, 1, 1, 64, emptyList())

        fun plain(
            id: String,
            zone: String,
        ) = ServerReport(id, "app", "$id:80", zone, ServerPhase.READY, 1, 1, 2)

        fun dispatcher(vararg servers: ServerReport) =
            Dispatcher(DispatchOptions(), Duration.ZERO, hasPredecessor = false).apply {
                configure(configuration, emptyMap(), Duration.ZERO)
                updateServers(servers.toList(), Duration.ZERO)
                for (node in enginesToQuery(Duration.ZERO)) {
                    recordInventory(node.id, EngineInventory(0, node.models.orEmpty()), Duration.ZERO)
                }
            }

        var number = 0L

        fun request(
            service: String = "llm",
            adapter: String? = null,
            exclude: Set<String> = emptySet(),
        ) = DispatchRequest(
            entry = "e",
            number = ++number,
            service = service,
            workspace = null,
            charge = 0,
            zone = "z1",
            targetMillis = 1000,
            remainingMillis = 5000,
            model = if (service == "llm") "m" else null,
            adapter = adapter,
            promptTokens = if (service == "llm") 100 else 0,
            exclude = exclude,
        )

        fun Dispatcher.decide(request: DispatchRequest) = admit(request, Duration.ZERO).shouldBeInstanceOf<Admission.Decided>().decision

        fun Dispatcher.serversOf(
            count: Int,
            service: String = "llm",
        ) = List(count) { (decide(request(service)) as DispatchDecision.Send).server }.toSet()

        describe("a zone under evacuation") {
            it("gets no requests, also from its own zone, until the evacuation ends") {
                val dispatcher = dispatcher(server("a", "z1"), server("b", "z2"), plain("p", "z1"), plain("q", "z2"))
                dispatcher.setEvacuatedZones(setOf("z1"))
                dispatcher.serversOf(4) shouldBe setOf("b")
                dispatcher.serversOf(3, "app") shouldBe setOf("q")
                dispatcher.setEvacuatedZones(emptySet())
                dispatcher.serversOf(4) shouldContain "a"
            }

            it("keeps its running requests") {
                val dispatcher = dispatcher(server("a", "z1"))
                dispatcher.decide(request())
                dispatcher.setEvacuatedZones(setOf("z1"))
                dispatcher.updateServers(listOf(server("a", "z1")), Duration.ZERO)
                dispatcher.runningRequests shouldBe 1
            }

            it("gets no loads, and adapters held only there are loaded elsewhere") {
                val dispatcher = dispatcher(server("a", "z1", mapOf("x" to 1L)), server("b", "z2"))
                dispatcher.setEvacuatedZones(setOf("z1"))
                val admission = dispatcher.admit(request(adapter = "x"), Duration.ZERO).shouldBeInstanceOf<Admission.Load>()
                admission.order.server shouldBe "b"
            }

            it("gets no base models, and those held only there are loaded elsewhere") {
                val dispatcher = dispatcher(server("a", "z1"), emptyServer("b", "z1"), emptyServer("c", "z2"))
                dispatcher.setEvacuatedZones(setOf("z1"))
                val orders = List(3) { dispatcher.nextModelOrder(it.seconds) }
                orders.mapNotNull { it?.server } shouldContainExactly listOf("c")
            }
        }

        describe("two zones under evacuation") {
            it("get no requests, and the third one serves them") {
                val dispatcher = dispatcher(server("a", "z1"), server("b", "z2"), server("c", "z3"))
                dispatcher.setEvacuatedZones(setOf("z1", "z2"))
                dispatcher.serversOf(6) shouldBe setOf("c")
            }
        }

        describe("a service whose zones are all under evacuation") {
            it("refuses requests at once, to be retried in about a second") {
                val dispatcher = dispatcher(server("a", "z1"), server("b", "z2"), plain("q", "z3"))
                dispatcher.setEvacuatedZones(setOf("z1", "z2"))
                dispatcher.decide(request(adapter = "x")) shouldBe
                    DispatchDecision.Refuse(DispatchRefusal.EVACUATED, 1000, servers = 2)
                dispatcher.serversOf(1, "app") shouldBe setOf("q")
            }

            it("is not taken for one whose remaining servers have failed") {
                val dispatcher = dispatcher(server("a", "z1"), server("b", "z2"))
                dispatcher.setEvacuatedZones(setOf("z1"))
                val refusal = dispatcher.decide(request(exclude = setOf("b"))).shouldBeInstanceOf<DispatchDecision.Refuse>()
                refusal.reason shouldBe DispatchRefusal.NO_SERVER
            }
        }
    })
