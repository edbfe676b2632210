package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import kotlin.time.Duration.Companion.seconds

/** The least time that the rules of a deployment give from the return of the power until the newest acknowledged version is in force. */
private val ALLOWED = 3.seconds
private const val SEEDS = 300L

/** Guards against entry instances that refuse by an older version, because an election fails after all control instances have lost power. */
class LateAfterPowerLossSpec :
    DescribeSpec({
        describe("replicas that have all lost power at once") {
            it("confirm the newest acknowledged state before it must be in force, with every seed") {
                for (seed in 1..SEEDS) SlowStartRun(seed).run().current shouldBeLessThan ALLOWED
            }
        }
    })
