package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RetryBudgetSpec :
    DescribeSpec({
        describe("a retry budget") {
            it("allows a share of the requests within the window plus a reserve") {
                val budget = RetryBudget(window = 10.seconds, ratio = 0.2, reserve = { 1.0 })
                repeat(10) { budget.recordRequest(Duration.ZERO) }
                (1..5).count { budget.tryRetry(1.seconds) } shouldBe 3
            }

            it("recovers retries that left the window") {
                val budget = RetryBudget(window = 10.seconds, ratio = 0.0, reserve = { 1.0 })
                budget.tryRetry(Duration.ZERO) shouldBe true
                budget.tryRetry(9.seconds) shouldBe false
                budget.tryRetry(11.seconds) shouldBe true
            }

            it("shrinks when the reserve is found to be divided among more instances than was known at first") {
                var instances = 1
                val budget = RetryBudget(window = 10.seconds, ratio = 0.0, reserve = { 8.0 / instances })
                budget.tryRetry(Duration.ZERO) shouldBe true
                instances = 8
                budget.tryRetry(1.seconds) shouldBe false
            }
        }
    })
