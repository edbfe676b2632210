package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that are refused for want of a loaded adapter although the weight store and the engines have room, because
 * loads that the leader has not got round to ordering count as if they were in transit.
 */
class LateOrdersSpec :
    DescribeSpec({
        fun trial(
            orderTime: Duration,
            seed: Int,
        ) = LateOrdersTrial(engines = 98, requestsPerSecond = 460.0, orderTime = orderTime, storeLoads = 80, seed = seed).apply {
            run(8.seconds)
            println(
                "orders take $orderTime, seed $seed: $sent sent, $refused refused, at most $maxInTransit in transit, $sentTooEarly early",
            )
        }

        describe("a leader of 98 engines whose orders take 350 ms") {
            for (seed in 1..3) {
                it("refuses few requests, seed $seed") {
                    val trial = trial(350.milliseconds, seed)
                    trial.refused.toDouble() / (trial.sent + trial.refused) shouldBeLessThan 0.05
                    trial.maxInTransit shouldBeLessThanOrEqual 160
                }
            }
        }

        describe("a leader of 98 engines whose orders take 4 ms") {
            it("refuses few requests") {
                val trial = trial(4.milliseconds, seed = 1)
                trial.refused.toDouble() / (trial.sent + trial.refused) shouldBeLessThan 0.05
            }
        }
    })
