package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.math.pow
import kotlin.random.Random

/**
 * Guards against requests that are refused for want of a loaded adapter while engines have free places and all control instances are
 * unreachable: they answer for the first 0.8 s of traffic and are gone for 8 s after that.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class DarkControlReplaySpec :
    DescribeSpec({
        class Counts {
            var asked = 0
            var found = 0

            val share: Double get() = found.toDouble() / asked
        }

        fun replay(
            usesDelegates: Boolean,
            seed: Int,
        ): Counts {
            val dark = Counts()
            runTest {
                val random = Random(seed)
                val clock = SchedulerClock(testScheduler)
                val engines = SimulatedEngines(32, 5, clock, backgroundScope, random)
                val hosts = (1..24).map { "10.0.0.$it" }
                val entries = SimulatedEntries(hosts, 5, engines, clock, backgroundScope, usesDelegates)
                entries.start()
                launch { delay(800).also { entries.setControlReachable(false) } }
                repeat(8_800 / 4) {
                    val entry = entries.entries.random(random)
                    // Few adapters are requested often, most of them seldom.
                    val adapter = "a${(120 * random.nextDouble().pow(2)).toInt()}"
                    val isDark = currentTime >= 800
                    launch {
                        val isFound = entry.serve(adapter)
                        if (isDark) dark.asked++
                        if (isDark && isFound) dark.found++
                    }
                    delay(4)
                }
                delay(2_000)
                engines.violations.shouldBeEmpty()
            }
            return dark
        }

        describe("all control instances gone for 8 s after 0.8 s of traffic") {
            it("leaves most requests a holder with load delegates, and few without") {
                val before = (1..3).map { replay(usesDelegates = false, it) }
                val after = (1..3).map { replay(usesDelegates = true, it) }
                println(
                    "found a holder: before ${before.map { "${it.found}/${it.asked}" }}, after ${after.map { "${it.found}/${it.asked}" }}",
                )
                before.maxOf { it.share } shouldBeLessThan 0.4
                after.minOf { it.share } shouldBeGreaterThan 0.6
            }
        }
    })
