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
            it("waits for the whole pause while the leader before is up") {
                checked.isComplete(followed, "b", 2999.milliseconds) shouldBe false
                checked.isComplete(followed, "b", 3.seconds) shouldBe true
            }

            it("gives orders soon when the leader before does not answer and servers check fencing numbers") {
                checked.isComplete(alone, "b", 300.milliseconds) shouldBe false
                checked.isComplete(alone, "b", 350.milliseconds) shouldBe true
            }

            it("waits for the whole pause where servers do not check fencing numbers") {
                OrderHandover(pause = 3.seconds, fencingChecked = false).isComplete(alone, "b", 2.seconds) shouldBe false
            }

            it("that was the leader before gives orders at once") {
                checked.isComplete(alone, "a", 0.seconds) shouldBe true
            }
        }
    })
