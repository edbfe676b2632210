package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Half of the time that the rules give from the return of the power until the newest acknowledged version is in force. */
private val MAX_RECOVERY = 1500.milliseconds
private const val SEEDS = 1000L

class RecoveryTimeSpec :
    DescribeSpec({
        describe("replicas that have all lost power at once") {
            it("confirm the newest acknowledged state within half of the time that the rules give, with every seed") {
                val runs = (1..SEEDS).associateWith { SlowStartRun(it).run() }
                val (seed, worst) = runs.maxBy { it.value.current }
                println("recovery, worst of $SEEDS seeds: $worst (seed $seed)")
                printStage("all open", runs.values.map { it.opened })
                printStage("leader", runs.values.map { it.elected })
                printStage("current at all", runs.values.map { it.current })
                worst.current shouldBeLessThanOrEqualTo MAX_RECOVERY
            }
        }
    })

private fun printStage(
    name: String,
    times: List<Duration>,
) {
    val sorted = times.sorted()
    println("recovery, $name: median ${sorted[sorted.size / 2]}, 9 of 10 ${sorted[sorted.size * 9 / 10]}, worst ${sorted.last()}")
}
