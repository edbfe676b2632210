package anvilslip.gateway

import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaView
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OrderHandoverSpec :
    DescribeSpec({
        val own = ReplicaId("a", "x")
        val previous = ReplicaId("b", "y")
        val alone = ReplicaView(own)
        val followed = ReplicaView(own, followers = setOf(previous))
        val checked = OrderHandover(pause = 3.seconds, fencingChecked = true)

        describe("a new leader") {
            it("waits for the whole pause if the previous leader is up") {
                checked.isComplete(followed, "b", 2999.milliseconds) shouldBe false
                checked.isComplete(followed, "b", 3.seconds) shouldBe true
            }

            it("sends orders early if the previous leader does not answer and servers check fencing tokens") {
                checked.isComplete(alone, "b", 300.milliseconds) shouldBe false
                checked.isComplete(alone, "b", 350.milliseconds) shouldBe true
            }

            it("waits for the whole pause if servers do not check fencing tokens") {
                OrderHandover(pause = 3.seconds, fencingChecked = false).isComplete(alone, "b", 2.seconds) shouldBe false
            }

            it("that was also the previous leader sends orders at once") {
                checked.isComplete(alone, "a", 0.seconds) shouldBe true
            }
        }
    })
