package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration.Companion.seconds

class PendingTokensSpec :
    DescribeSpec({
        it("counts what is processed before a request of a priority") {
            val pending = PendingTokens()
            pending.add(0, 100)
            pending.add(2, 1_000)
            pending.add(99, 10)
            listOf(0, 1, 2, 99).map(pending::upTo) shouldBe listOf(100, 100, 1_100, 1_110)
            pending.add(2, -1_000)
            pending.total shouldBe 110
        }

        // Guards against urgent requests that are delayed or refused because of others that engines start after them.
        it("lets an urgent request start on engines that are busy with less urgent ones") {
            val harness = AdmissionHarness(engines = 32, slots = 64)
            repeat(32) { harness.ask(harness.request(2, tokens = 30_000, target = 60.seconds)).shouldBeInstanceOf<DispatchDecision.Send>() }
            harness.ask(harness.request(0)).shouldBeInstanceOf<DispatchDecision.Send>()
            harness.ask(harness.request(2)) shouldBe null
        }
    })
