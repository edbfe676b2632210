package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against delegates that order loads while control instances run, and against an outage that is noticed late. */
class ControlReachabilitySpec :
    DescribeSpec({
        fun simulate(scenario: suspend TestScope.(SimulatedEntries.Entry) -> Unit) =
            runTest {
                val clock = SchedulerClock(testScheduler)
                val engines = SimulatedEngines(1, 1, clock, backgroundScope)
                val entries = SimulatedEntries(listOf("10.0.0.1"), 1, engines, clock, backgroundScope)
                entries.start()
                delay(10)
                scenario(entries.entries.single())
            }

        val controls = SimulatedEntries.CONTROLS

        describe("an entry instance that reaches no control instance") {
            it("is cut off after two silent rounds and not before") {
                simulate { entry ->
                    entry.reachableControls = emptySet()
                    delay(5.seconds)
                    entry.reachability.cutOffTerm shouldBe null
                    entry.reachability.onLeaderSilent()
                    delay(540.milliseconds)
                    entry.reachability.cutOffTerm shouldBe null
                    entry.reachability.isDeciding shouldBe true
                    delay(20.milliseconds)
                    entry.reachability.cutOffTerm shouldBe SimulatedEntries.TERM
                    entry.reachability.isDeciding shouldBe false
                    repeat(50) {
                        delay(100.milliseconds)
                        entry.reachability.cutOffTerm shouldBe SimulatedEntries.TERM
                    }
                }
            }

            it("is no longer cut off as soon as a majority answers") {
                simulate { entry ->
                    entry.reachableControls = emptySet()
                    entry.reachability.onLeaderSilent()
                    delay(2.seconds)
                    entry.reachableControls = controls.take(3).toSet()
                    delay(310.milliseconds)
                    entry.reachability.cutOffTerm shouldBe null
                }
            }

            it("is no longer cut off at the moment it knows a leader of a later term") {
                simulate { entry ->
                    entry.reachableControls = emptySet()
                    entry.reachability.onLeaderSilent()
                    delay(2.seconds)
                    entry.view.observeLeader(controls[1], SimulatedEntries.TERM + 1)
                    entry.reachability.cutOffTerm shouldBe null
                    delay(310.milliseconds)
                    entry.reachability.cutOffTerm shouldBe null
                    delay(600.milliseconds)
                    entry.reachability.cutOffTerm shouldBe SimulatedEntries.TERM + 1
                }
            }
        }

        describe("an entry instance that reaches some control instances") {
            it("is cut off if they are a minority") {
                simulate { entry ->
                    entry.reachableControls = controls.take(2).toSet()
                    entry.reachability.onLeaderSilent()
                    delay(1.seconds)
                    entry.reachability.cutOffTerm shouldBe SimulatedEntries.TERM
                }
            }

            it("is not cut off by a single silent round") {
                simulate { entry ->
                    entry.reachableControls = emptySet()
                    entry.reachability.onLeaderSilent()
                    delay(200.milliseconds)
                    entry.reachableControls = controls.take(3).toSet()
                    repeat(20) {
                        delay(50.milliseconds)
                        entry.reachability.cutOffTerm shouldBe null
                    }
                }
            }
        }

        describe("control instances that are busy but run") {
            it("answer pings, so an instance whose admissions are not answered is not cut off") {
                simulate { entry ->
                    repeat(100) {
                        entry.reachability.onLeaderSilent()
                        delay(50.milliseconds)
                        entry.reachability.cutOffTerm shouldBe null
                    }
                }
            }
        }
    })
