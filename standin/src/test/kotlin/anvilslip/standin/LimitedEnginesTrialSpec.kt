package anvilslip.standin

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/**
 * Guards against sending engines that name a limit more than it allows, which overloads them, and against limits that cost callers the
 * service of the other engines.
 */
class LimitedEnginesTrialSpec :
    DescribeSpec({
        val engines = 12

        describe("a dispatcher with engines that name a limit") {
            for (load in DispatchLoad.withLimits(engines)) {
                val results = (1L..4L).map { DispatchTrial(DispatchTrialOptions(engines = engines), load, it).run() }

                it("sends them no more requests than that: ${load.name}") {
                    results.maxOf { it.requestsOverLimit } shouldBe 0.0
                }

                it("serves at least 95% of the requests: ${load.name}") {
                    results.map { 1 - it.unserved }.average() shouldBeGreaterThan 0.95
                }
            }
        }
    })
