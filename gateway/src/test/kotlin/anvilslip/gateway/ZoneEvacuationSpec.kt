package anvilslip.gateway

import anvilslip.kernel.Metrics
import anvilslip.kernel.SystemClock
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.EngineInventory
import anvilslip.policy.EngineProfile
import anvilslip.policy.LoadedModel
import anvilslip.policy.ModelProfile
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.ConfigurationDocument
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaRole
import anvilslip.state.ReplicaView
import anvilslip.wire.PeerMessage
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ZoneEvacuationSpec :
    DescribeSpec({
        fun view(
            configuration: ServingConfiguration = ServingConfiguration(1),
            onChange: (String, Boolean) -> Unit = { _, _ -> },
        ) = ClusterView({ configuration.right() }, SystemClock, emptySet(), heartbeat = 1.minutes, onChange)

        fun ClusterView.evacuate(
            revision: Long,
            vararg zones: String,
        ) = applyEvacuations(ClusterView.Evacuations(zones.toSet(), revision))

        describe("the view of an instance") {
            // Guards against a late answer of a control instance that is behind, with which an ended evacuation would begin again.
            it("ignores evacuations of an older or the same revision") {
                val changes = ArrayList<Pair<String, Boolean>>()
                val view = view { zone, isActive -> changes += zone to isActive }
                view.evacuate(1, "z1")
                view.evacuate(3, "z2", "z3")
                view.evacuate(2, "z1", "z2")
                view.evacuate(3)
                view.evacuations shouldBe ClusterView.Evacuations(setOf("z2", "z3"), 3)
                changes shouldContainExactly listOf("z1" to true, "z2" to true, "z3" to true, "z1" to false)
            }

            it("shows each zone in the gauge") {
                val metrics = Metrics()
                val view = view(onChange = GatewayMetrics(metrics)::recordEvacuation)
                view.evacuate(1, "z1", "z2")
                view.evacuate(2, "z2")
                metrics.scrape() shouldContain "anvilslip_zone_evacuated{zone=\"z1\"} 0.0"
                metrics.scrape() shouldContain "anvilslip_zone_evacuated{zone=\"z2\"} 1.0"
            }

            it("signals a change once") {
                val view = view()
                view.evacuate(1, "z1")
                val seen = view.changeCount
                view.evacuate(1, "z1")
                view.changeCount shouldBe seen
            }
        }

        fun plain(
            id: String,
            zone: String,
        ) = ServerReport(id, "app", "$id:80", zone, ServerPhase.READY, 1, 1, slots = 10)

        fun request(exclude: Set<String> = emptySet()) =
            DispatchRequest("e", 1, "app", null, 0, "z1", targetMillis = 1000, remainingMillis = 5000, exclude = exclude)

        describe("a decision without a leader") {
            val view = view().apply { listOf(plain("a", "z1"), plain("b", "z2")).forEach { recordReport(it, direct = true) } }
            val local = LocalDispatch(view) { 0 }

            it("avoids zones under evacuation") {
                local.decide(request(), 1.seconds).shouldBeInstanceOf<DispatchDecision.Send>().server shouldBe "a"
                view.evacuate(1, "z1")
                local.decide(request(), 1.seconds).shouldBeInstanceOf<DispatchDecision.Send>().server shouldBe "b"
            }

            it("is a refusal if the other servers have failed, or if all zones are under evacuation") {
                fun refusal(exclude: Set<String>) =
                    local.decide(request(exclude), 1.seconds).shouldBeInstanceOf<DispatchDecision.Refuse>().reason
                refusal(exclude = setOf("b")) shouldBe DispatchRefusal.NO_SERVER
                view.evacuate(2, "z1", "z2")
                refusal(exclude = emptySet()) shouldBe DispatchRefusal.EVACUATED
            }
        }

        describe("a leader") {
            val leading = ReplicaView(ReplicaId("c", "x"), ReplicaRole.LEADER, term = 3, leaseUntil = SystemClock.elapsed() + 10.minutes)

            fun leader(
                view: ClusterView,
                engineClient: EngineClient,
                replicaView: () -> ReplicaView = { leading },
            ) = LeaderDispatch(
                replicaView,
                view,
                WatchResponder("c", "x", view, replicaView, SystemClock),
                engineClient,
                DispatchOptions(),
                OrderHandover(Duration.ZERO, false),
                SystemClock,
            )

            suspend fun LeaderDispatch.decide(request: DispatchRequest) =
                admit(request).shouldBeInstanceOf<PeerMessage.AdmitReply>().decision

            it("applies an evacuation to the next request, and a leader of a new term does too") {
                val configuration = ServingConfiguration(1, services = mapOf("app" to BackendService("app", 100)))
                val view = view(configuration).apply { applyDocument(ConfigurationDocument(1, "text")) }
                listOf(plain("a", "z1"), plain("b", "z2")).forEach { view.recordReport(it, direct = true) }
                var term = leading
                val leader = leader(view, ScriptedEngineClient()) { term }
                leader.decide(request()).shouldBeInstanceOf<DispatchDecision.Send>().server shouldBe "a"
                view.evacuate(1, "z1")
                leader.decide(request()).shouldBeInstanceOf<DispatchDecision.Send>().server shouldBe "b"
                term = leading.copy(term = 4)
                leader.decide(request()).shouldBeInstanceOf<DispatchDecision.Send>().server shouldBe "b"
                view.evacuate(2, "z1", "z2")
                leader.decide(request()).shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.EVACUATED
            }

            // The load would follow the eviction, which takes as long as the engine takes to answer.
            it("sends no load that was decided before the evacuation began") {
                val model = ModelProfile("m", weightsMb = 1.0, loadTime = 10.milliseconds, adapterMb = 1.0)
                val engine = EngineProfile(4, 1_000, listOf(model), weightsMb = 10.0, adapterSlots = 1, loadsPerSecond = 100.0)
                val configuration = ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 100, engine)))
                val view = view(configuration).apply { applyDocument(ConfigurationDocument(1, "text")) }
                val held = listOf(LoadedModel("m", mapOf("x" to 1L)))
                view.recordReport(ServerReport("a", "llm", "a:80", "z1", ServerPhase.READY, 1, 1, 4, held), direct = true)
                val scripted = ScriptedEngineClient(OrderReply.HOLDS, OrderReply.TAKEN, inventory = EngineInventory(0, held))
                val evacuating =
                    object : EngineClient by scripted {
                        override suspend fun sendOrder(
                            order: EngineOrder,
                            fencingToken: Long,
                        ): OrderReply = scripted.sendOrder(order, fencingToken).also { view.evacuate(1, "z1") }
                    }
                val leader = leader(view, evacuating)
                leader.start()
                val demand = request().copy(service = "llm", model = "m", adapter = "y")
                val refused =
                    withTimeoutOrNull(8.seconds) {
                        while (scripted.sentOrders.isEmpty()) leader.decide(demand).also { delay(10.milliseconds) }
                        leader.decide(demand)
                    }
                leader.stop()
                refused.shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.EVACUATED
                scripted.sentOrders.map { it.isLoad } shouldContainExactly listOf(false)
            }
        }
    })
