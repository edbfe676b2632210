package anvilslip.gateway

import anvilslip.gateway.SimulatedEngines.Companion.MODEL
import anvilslip.gateway.SimulatedEngines.Companion.SERVICE
import anvilslip.policy.FencingToken
import anvilslip.state.AdapterName
import anvilslip.wire.PeerMessage.DelegateLoad
import anvilslip.wire.PeerMessage.DelegateLoadReply
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against delegates that exceed slots, evict, load base models or old versions, or go on when they may not. */
class LoadDelegateSpec :
    DescribeSpec({
        class Scene(
            val engines: SimulatedEngines,
            val entry: SimulatedEntries.Entry,
        ) {
            val engine = engines.engines.getValue("engine1")

            suspend fun ask(
                adapter: String,
                server: String = "engine1",
                model: String = MODEL,
                version: Long? = null,
            ) = entry.delegate.load(DelegateLoad(SERVICE, server, model, adapter, version))
        }

        /** A delegate of two engines with two places each, cut off from control. */
        fun simulate(
            faults: SimulatedEngines.Faults = SimulatedEngines.Faults(),
            scenario: suspend TestScope.(Scene) -> Unit,
        ) = runTest {
            val clock = SchedulerClock(testScheduler)
            val engines = SimulatedEngines(2, 2, clock, backgroundScope, faults = faults)
            val entries = SimulatedEntries(listOf("10.0.0.1"), 2, engines, clock, backgroundScope)
            entries.start()
            entries.setControlReachable(false)
            val entry = entries.entries.single()
            entry.reachability.onLeaderSilent()
            delay(1.seconds)
            scenario(Scene(engines, entry))
            engines.violations.shouldBeEmpty()
        }

        val refused = DelegateLoadReply(false, 0)
        val held = DelegateLoadReply(true, 0)

        describe("a delegate that is cut off from control") {
            it("loads an adapter into a free place with its own token and answers at once when it is held") {
                simulate { scene ->
                    scene.ask("a") shouldBe DelegateLoadReply(true, 270)
                    scene.engines.accepted
                        .single()
                        .token shouldBe FencingToken.ofDelegate(SimulatedEntries.TERM, 0, 1).value
                    delay(300.milliseconds)
                    scene.ask("a") shouldBe held
                    scene.engines.ordersReceived shouldBe 1
                }
            }

            it("evicts nothing and counts loads in progress as occupied places") {
                simulate { scene ->
                    scene.engine.held["x"] = 1
                    scene.engine.pending["y"] = 1.seconds * 60
                    scene.ask("a") shouldBe refused
                    scene.engines.ordersReceived shouldBe 0
                }
            }

            it("never loads a base model") {
                simulate { scene ->
                    scene.ask("a", model = "other") shouldBe refused
                    scene.engines.ordersReceived shouldBe 0
                }
            }

            it("does not offer a version below the named one, nor replace it") {
                simulate { scene ->
                    scene.engine.held["x"] = 1
                    scene.ask("x", version = 2) shouldBe refused
                    scene.entry.view.applyVersions(mapOf(AdapterName(MODEL, "x") to 3), 1)
                    scene.ask("x") shouldBe refused
                    scene.ask("x", version = 1) shouldBe refused
                    scene.engines.ordersReceived shouldBe 0
                }
            }

            it("has one load in transit over all its engines and states when to ask again") {
                simulate { scene ->
                    scene.ask("a")
                    val reply = scene.ask("b", server = "engine2")
                    reply.loaded shouldBe false
                    reply.readyInMillis shouldBeInRange 200L..250L
                    delay(300.milliseconds)
                    scene.ask("b", server = "engine2").loaded shouldBe true
                }
            }

            it("reads the state after an order without a reply and does not repeat an order that was carried out") {
                simulate(SimulatedEngines.Faults(lostReplies = 0.5)) { scene ->
                    repeat(20) {
                        scene.ask("a")
                        delay(300.milliseconds)
                    }
                    scene.engine.held.keys shouldBe setOf("a")
                    scene.engine.orders shouldBe 1
                }
            }
        }

        describe("a delegate whose token an engine refuses") {
            it("raises its generation once, then sends no orders to the engine until a later term") {
                simulate { scene ->
                    scene.engine.highestToken = FencingToken.ofDelegate(SimulatedEntries.TERM, 0, 9).value
                    scene.ask("a").loaded shouldBe true
                    scene.engines.accepted
                        .single()
                        .token shouldBe FencingToken.ofDelegate(SimulatedEntries.TERM, 1, 1).value
                    delay(300.milliseconds)
                    scene.engine.highestToken = FencingToken.ofLeader(SimulatedEntries.TERM, 2).value
                    repeat(3) { scene.ask("b") shouldBe refused }
                    scene.engines.ordersReceived shouldBe 3
                    scene.entry.view.observeLeader(SimulatedEntries.CONTROLS[1], SimulatedEntries.TERM + 1)
                    delay(1.seconds)
                    scene.ask("b").loaded shouldBe true
                }
            }
        }

        describe("an instance that is asked although it may not order") {
            it("refuses when a majority of the control instances answers") {
                simulate { scene ->
                    scene.entry.reachableControls = SimulatedEntries.CONTROLS.take(3).toSet()
                    delay(400.milliseconds)
                    scene.ask("a")
                    delay(100.milliseconds)
                    scene.ask("a") shouldBe refused
                    scene.engines.ordersReceived shouldBe 0
                }
            }

            it("refuses for engines of other delegates") {
                simulate { scene ->
                    scene.entry.view.observeEntryHosts("10.9.0.1", listOf("10.0.0.2", "10.0.0.3"))
                    scene.ask("a") shouldBe refused
                }
            }

            it("refuses if another instance has the same low 24 bits of the address") {
                simulate { scene ->
                    scene.entry.view.observeEntryHosts("10.9.0.1", listOf("10.0.0.1", "11.0.0.1"))
                    scene.ask("a") shouldBe refused
                }
            }
        }
    })
