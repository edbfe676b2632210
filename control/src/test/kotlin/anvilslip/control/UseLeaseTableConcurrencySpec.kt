package anvilslip.control

import anvilslip.policy.AdapterVersion
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Operations of [UseLeaseTable] that Lincheck runs concurrently. */
class UseLeaseTableOperations {
    private val table = UseLeaseTable(3.seconds)
    private val adapter = AdapterVersion("a", "v1")

    @Operation
    fun recordPlacement(): Unit =
        table.recordPlacement("s", adapter, leaderTerm = 1, lease = 1, decidedAt = Duration.ZERO, now = Duration.ZERO)

    @Operation
    fun startRequest(): String? = table.startRequest(adapter, Duration.ZERO) { _, inFlight -> inFlight.toDouble() }

    @Operation
    fun finishRequest(): Unit = table.finishRequest("s", adapter, Duration.ZERO)

    @Operation
    fun inFlight(): Int = table.inFlightOn("s")

    @Operation
    fun invalidate(): Unit = table.invalidate("s", adapter)
}

/** A counter without synchronization, to verify that the check detects lost updates. */
class UnsynchronizedCounter {
    private var count = 0

    @Operation
    fun next(): Int = ++count
}

class UseLeaseTableConcurrencySpec :
    DescribeSpec({
        it("a use lease table is linearizable") {
            StressOptions().iterations(5).invocationsPerIteration(200).check(UseLeaseTableOperations::class)
        }

        it("the check detects a counter without synchronization") {
            shouldThrow<AssertionError> { StressOptions().iterations(5).invocationsPerIteration(2_000).check(UnsynchronizedCounter::class) }
        }
    })
