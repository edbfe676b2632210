package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LocalLimitsSpec :
    DescribeSpec({
        val workspace = ServingWorkspace("w", listOf("k"), ratePerSecond = 1000.0, burst = 1000.0)

        describe("the share of a workspace limit that an entry instance may spend without a leader") {
            it("is empty when the instance starts, since it may have spent the burst before") {
                val limits = LocalLimits()
                limits.waitTime(workspace, 100, 10, Duration.ZERO) shouldBe 1.seconds
                limits.waitTime(workspace, 100, 10, 1.seconds) shouldBe Duration.ZERO
            }

            it("is used up by requests that a leader granted") {
                val limits = LocalLimits()
                limits.waitTime(workspace, 100, 10, Duration.ZERO)
                limits.recordGranted(workspace, 100, 10, 2.seconds)
                limits.waitTime(workspace, 100, 10, 2.seconds) shouldBe 1.seconds
            }

            it("is spent again soon after a leader granted far more than the share") {
                val limits = LocalLimits()
                limits.waitTime(workspace, 100, 10, Duration.ZERO)
                repeat(20) { limits.recordGranted(workspace, 100, 10, 2.seconds) }
                limits.waitTime(workspace, 100, 10, 2.seconds) shouldBe 2.seconds
            }

            it("keeps its level when the number of entry instances or the limit changes") {
                val limits = LocalLimits()
                limits.waitTime(workspace, 100, 10, Duration.ZERO)
                limits.spend(workspace, 100, 10, 1.seconds)
                limits.waitTime(workspace, 100, 5, 1.seconds) shouldBe 500.milliseconds
                limits.waitTime(workspace.copy(ratePerSecond = 2000.0), 100, 10, 1.seconds) shouldBe 500.milliseconds
            }
        }
    })
