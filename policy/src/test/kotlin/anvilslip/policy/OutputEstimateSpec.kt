package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class OutputEstimateSpec :
    DescribeSpec({
        fun request(
            hint: Int?,
            max: Int = 400,
            priority: Int = 0,
        ) = DispatchRequest("e", 1, "llm", null, 0, "z", 1000, 5000, maxOutputTokens = max, lengthHint = hint, priority = priority)

        it("follows the hint before anything is known, and half of the maximum without one") {
            val estimate = OutputEstimate()
            estimate.expected(request(hint = 60)) shouldBe 60
            estimate.expected(request(hint = null)) shouldBe 200
        }

        it("corrects the hint by the median ratio, which single wild hints do not move") {
            val estimate = OutputEstimate()
            repeat(60) { estimate.observe(request(hint = 100), if (it % 10 == 0) 4_000 else 150) }
            estimate.expected(request(hint = 100)) shouldBe 150
            estimate.expected(request(hint = 100, priority = 1)) shouldBe 100
        }

        it("never exceeds the stated maximum") {
            OutputEstimate().expected(request(hint = 900)) shouldBe 400
        }

        it("counts in the memory of engines only where requests wait in the queue") {
            fun sent(engines: Int): Int {
                val harness = AdmissionHarness(engines, slots = 64)
                // Two of these need 0.9 of the KV cache of an engine for their prompts alone, and all of it with their output.
                val large = { harness.request(tokens = 40_000, target = 60.seconds, remaining = 90.seconds).copy(lengthHint = 10_000) }
                return (0..engines).count { harness.ask(large()) is DispatchDecision.Send }
            }
            sent(engines = 32) shouldBe 32
            sent(engines = 31) shouldBe 32
        }
    })
