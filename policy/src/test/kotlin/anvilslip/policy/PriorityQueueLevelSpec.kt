package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration

class PriorityQueueLevelSpec :
    DescribeSpec({
        fun request(
            workspace: String,
            number: Long,
        ) = WaitingRequest(
            request =
                DispatchRequest(
                    entry = "e",
                    number = number,
                    service = "s",
                    workspace = workspace,
                    charge = 0,
                    zone = "z1",
                    targetMillis = 1_000,
                    remainingMillis = 5_000,
                    promptTokens = 100,
                ),
            askedAt = Duration.ZERO,
            since = Duration.ZERO,
            sequence = number,
            work = 100,
            prefillTime = Duration.ZERO,
        )

        describe("the weights of workspaces") {
            // Guards against a sum of weights that keeps the difference between the old and the new weight of a workspace, which
            // makes the expected wait of all other workspaces wrong.
            for ((old, new) in listOf(10.0 to 1.0, 1.0 to 10.0)) {
                it("no longer count when the last request has left, after a change from $old to $new while it waited") {
                    val weights = hashMapOf("a" to old, "b" to 1.0, "c" to 1.0)
                    val level = PriorityQueueLevel(weights::getValue)
                    val changed = request("a", 0)
                    level.add(changed)
                    level.add(request("b", 1))
                    for (number in 2L..11L) level.add(request("c", number))
                    weights["a"] = new
                    level.remove(changed)
                    level.workAhead("b") shouldBe 200.0
                }
            }

            it("apply to the next requests after a change while none waited") {
                val weights = hashMapOf("a" to 1.0, "b" to 1.0)
                val level = PriorityQueueLevel(weights::getValue)
                val first = request("a", 0)
                level.add(first)
                level.remove(first)
                weights["a"] = 4.0
                level.add(request("a", 1))
                for (number in 2L..11L) level.add(request("b", number))
                level.workAhead("a") shouldBe 125.0
            }
        }
    })
