package anvilslip.standin

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan

class UnequalEnginesTrialSpec :
    DescribeSpec({
        val unequal = DispatchTrialOptions(engines = 12, engineSpeeds = listOf(0.7, 0.7, 1.7), slowSpells = SpeedProfile.SlowSpells())

        fun results(
            requestsPerSecond: Double,
            options: DispatchTrialOptions = unequal,
        ) = (1L..4L).map { DispatchTrial(options, DispatchLoad("unequal", requestsPerSecond), it).run() }

        fun List<DispatchTrialResult>.mean(figure: (DispatchTrialResult) -> Double) = map(figure).average()

        describe("engines of 0.7, 0.7 and 1.7 times the stated speed with slow spells") {
            it("begin their answers at the predicted time, within a quarter at the median, at half of their capacity") {
                results(30.0).mean { it.predictionError } shouldBeLessThan 0.25
            }

            it("answer more requests in time, near their capacity, than with one speed for the service, which reached 0.938") {
                results(60.0).mean { 1 - it.late - it.unserved } shouldBeGreaterThan 0.945
            }

            it("get work in proportion to their speeds") {
                results(60.0).mean { it.busiestEngine } shouldBeLessThan 1.3
            }
        }

        describe("engines of the same speed") {
            it("begin their answers at the predicted time, within a quarter at the median") {
                results(29.0, DispatchTrialOptions()).mean { it.predictionError } shouldBeLessThan 0.25
            }
        }
    })
