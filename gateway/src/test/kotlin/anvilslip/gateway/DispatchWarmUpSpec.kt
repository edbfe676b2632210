package anvilslip.gateway

import anvilslip.policy.BackendService
import anvilslip.policy.DispatchOptions
import anvilslip.policy.EngineProfile
import anvilslip.policy.LoadedModel
import anvilslip.policy.ModelProfile
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.ConfigurationDocument
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.seconds

/** Guards against a warm-up that takes other paths than requests do, for example because each of its requests is refused. */
class DispatchWarmUpSpec :
    DescribeSpec({
        val engine = EngineProfile(64, 100_000, listOf(ModelProfile("m", 100.0, 1.seconds, 1.0)), 200.0, 6, 2.0)
        val services = mapOf("llm" to BackendService("llm", 100, engine), "app" to BackendService("app", 100))

        fun view(): ClusterView {
            val configuration = ServingConfiguration(version = 1, services = services)
            val view = ClusterView({ configuration.right() }, TestClock(1.seconds), setOf("c1"), 1.seconds)
            view.applyDocument(ConfigurationDocument(1, "{}"))
            val engines =
                (1..98).map {
                    ServerReport(
                        "e$it",
                        "llm",
                        "e$it:80",
                        "z",
                        ServerPhase.READY,
                        slots = 64,
                        models = listOf(LoadedModel("m", emptyMap())),
                    )
                }
            val plain = ServerReport("p1", "app", "p1:80", "z", ServerPhase.READY, slots = 6)
            (engines + plain).forEach { view.recordReport(it, direct = true) }
            return view
        }

        describe("the warm-up of decisions") {
            it("sends most of its requests") {
                runTest { DispatchWarmUp(view(), DispatchOptions()).run() shouldBeGreaterThan 1_000 }
            }
        }
    })
