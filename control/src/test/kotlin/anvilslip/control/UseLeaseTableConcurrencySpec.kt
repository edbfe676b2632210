package anvilslip.control

import anvilslip.policy.AdapterVersion
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The operations that several threads call at once. */
class ConcurrentUses {
    private val table = UseLeaseTable(3.seconds)
    private val adapter = AdapterVersion("a", "v1")

    @Operation
    fun recordPlacement(): Unit = table.recordPlacement("s", adapter, leaderTerm = 1, lease = 1, decidedAt = Duration.ZERO, now = Duration.ZERO)

    @Operation
    fun startRequest(): String? = table.startRequest(adapter, Duration.ZERO) { _, inFlight -> inFlight.toDouble() }

    @Operation
    fun finishRequest(): Unit = table.finishRequest("s", adapter, Duration.ZERO)

    @Operation
    fun inFlight(): Int = table.inFlightOn("s")

    @Operation
    fun invalidate(): Unit = table.invalidate("s", adapter)
}

/** What the check must find fault with. */
class UnguardedCounter {
    private var count = 0

    @Operation
    fun next(): Int = ++count
}

class UseLeaseTableConcurrencySpec :
    DescribeSpec({
        it("a use table behaves as if its calls came one after the other") {
            StressOptions().iterations(5).invocationsPerIteration(200).check(ConcurrentUses::class)
        }

        it("a counter without a lock would be noticed") {
            shouldThrow<AssertionError> { StressOptions().iterations(5).invocationsPerIteration(2_000).check(UnguardedCounter::class) }
        }
    })
