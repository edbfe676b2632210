package anvilslip.gateway

import anvilslip.kernel.SystemClock
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchOptions
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
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a new leader that never learns which adapters its engines hold, and so loads none: it asks all of them at once, with
 * less processor time than that takes before the answers count as missing, and then again at once.
 */
class EngineSurveysSpec :
    DescribeSpec({
        val model = ModelProfile("m", weightsMb = 1.0, loadTime = 10.milliseconds, adapterMb = 1.0)
        val profile = EngineProfile(64, 100_000, listOf(model), weightsMb = 10.0, adapterSlots = 4, loadsPerSecond = 100.0)
        val configuration = ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 100, profile)))

        fun leaderOf(
            count: Int,
            engineClient: EngineClient,
        ): LeaderDispatch {
            val view = { ReplicaView(ReplicaId("c", "x"), ReplicaRole.LEADER, term = 3, leaseUntil = SystemClock.elapsed() + 1.minutes) }
            val clusterView = ClusterView({ configuration.right() }, SystemClock, emptySet(), heartbeat = 10.seconds)
            clusterView.applyDocument(ConfigurationDocument(1, "text"))
            for (i in 1..count) {
                val models = listOf(LoadedModel("m", emptyMap()))
                clusterView.recordReport(ServerReport("s$i", "llm", "s$i:80", "z1", ServerPhase.READY, 1, 1, 64, models), direct = true)
            }
            val watches = WatchResponder("c", "x", clusterView, view, SystemClock)
            val handover = OrderHandover(Duration.ZERO, false)
            return LeaderDispatch(view, clusterView, watches, engineClient, DispatchOptions(), handover, SystemClock)
        }

        describe("a leader that surveys its engines") {
            it("asks no engine again while the answer to its last question may still come") {
                val surveys = SurveyedEngines(Duration.INFINITE) { delay(250.milliseconds) }
                val leader = leaderOf(1, surveys)
                leader.start()
                delay(1.seconds)
                leader.stop()
                surveys.asked.get() shouldBe 1
            }

            it("learns the state of 98 engines within seconds if each answer takes 5 ms of its one processor") {
                val processor = Mutex()
                val surveys =
                    SurveyedEngines(ENGINE_TIMEOUT) {
                        repeat(STEPS) {
                            processor.withLock {
                                SystemClock.elapsed().let {
                                    while (SystemClock.elapsed() - it <
                                        STEP
                                    ) {
                                        Unit
                                    }
                                }
                            }
                        }
                    }
                val leader = leaderOf(ENGINES, surveys)
                leader.start()
                withTimeoutOrNull(6.seconds) { while (surveys.known.size < ENGINES) delay(20.milliseconds) }
                leader.stop()
                surveys.known.size shouldBe ENGINES
                surveys.asked.get() shouldBeLessThan 2 * ENGINES
            }
        }
    }) {
    /** Engines that answer after [work], or not at all if that takes longer than [timeout]. */
    private class SurveyedEngines(
        private val timeout: Duration,
        private val work: suspend () -> Unit,
    ) : EngineClient by ScriptedEngineClient() {
        val asked = AtomicInteger()
        val known: MutableSet<String> = ConcurrentHashMap.newKeySet()

        override suspend fun queryInventory(
            server: String,
            address: String,
        ): EngineInventory? {
            asked.incrementAndGet()
            withTimeoutOrNull(timeout) { work() } ?: return null
            known += server
            return EngineInventory(0, listOf(LoadedModel("m", emptyMap())))
        }
    }

    private companion object {
        const val ENGINES = 98

        /** How long the platform waits for the answer of an engine. */
        val ENGINE_TIMEOUT = 150.milliseconds

        /** Connecting, sending, receiving, parsing and recording; other work of the leader runs in between. */
        const val STEPS = 5
        val STEP = 1.milliseconds
    }
}
