package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against an engine that crashes because it is ordered to load adapters for which it has places, but no memory beside its models. */
class EngineMemorySpec :
    DescribeSpec({
        val small = ModelProfile("small", 10_000.0, 1.seconds, 40.0)
        val large = ModelProfile("large", 34_300.0, 1.seconds, 150.0)
        val profile = EngineProfile(64, 100_000, listOf(small, large), weightsMb = 35_000.0, adapterSlots = 6, loadsPerSecond = 2.0)

        describe("the adapters that an engine may hold") {
            it("are as many as it has places, if these are all in its memory beside its models") {
                profile.adapterCapacity(setOf("small")) shouldBe 6
                profile.adapterCapacity(emptySet()) shouldBe 6
            }

            it("are as many as its memory holds beside its models") { profile.adapterCapacity(setOf("large")) shouldBe 4 }

            it("are none if its models leave no room") {
                profile.adapterCapacity(setOf("large", "small")) shouldBe 0
            }

            it("fill the memory exactly in spite of decimal fractions") {
                val exact = profile.copy(models = listOf(large.copy(weightsMb = 34_999.7, adapterMb = 0.1)))
                exact.adapterCapacity(setOf("large")) shouldBe 3
            }
        }

        describe("a burst of requests for adapters that no engine holds") {
            it("makes the leader load no more of them than fit into the memory") {
                val configuration = ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 100, profile)))
                val report = ServerReport("a", "llm", "a:80", "z1", ServerPhase.READY, 1, 1, 64, listOf(LoadedModel("large", emptyMap())))
                val dispatcher = Dispatcher(DispatchOptions(), Duration.ZERO, hasPredecessor = false)
                dispatcher.configure(configuration, emptyMap(), Duration.ZERO)
                dispatcher.updateServers(listOf(report), Duration.ZERO)
                dispatcher.recordInventory("a", EngineInventory(0, report.models.orEmpty()), Duration.ZERO)
                var loaded = 0
                for (number in 1L..8) {
                    val now = number.seconds
                    val request =
                        DispatchRequest(
                            entry = "e",
                            number = number,
                            service = "llm",
                            workspace = null,
                            charge = 0,
                            zone = "z1",
                            targetMillis = 1000,
                            remainingMillis = 5000,
                            model = "large",
                            adapter = "x$number",
                            promptTokens = 100,
                        )
                    val order = dispatcher.admit(request, now).shouldBeInstanceOf<Admission.Load>().order
                    val steps = checkNotNull(dispatcher.loadSteps(order))
                    var orders = steps.ordersTaken
                    steps.evict?.let {
                        dispatcher.recordEviction(order, it, ++orders)
                        loaded--
                    }
                    dispatcher.recordLoadStarted(order, ++orders, now)
                    loaded++
                    (loaded <= 4) shouldBe true
                    dispatcher.applyEvents("e", listOf(RequestEvent(number, RequestStep.ENDED)), now)
                }
            }
        }
    })
