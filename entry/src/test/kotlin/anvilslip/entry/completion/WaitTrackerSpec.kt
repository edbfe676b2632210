package anvilslip.entry.completion

import anvilslip.kernel.Clock
import anvilslip.kernel.HybridClock
import anvilslip.kernel.Metrics
import anvilslip.kernel.SystemClock
import anvilslip.kernel.Timeline
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WaitTrackerSpec :
    DescribeSpec({
        /** Clock that fails the first time that a periodic update reads it, and counts these times. */
        class FailingClock : Clock by SystemClock {
            val updates = AtomicInteger()

            override fun elapsed(): Duration {
                val isUpdate = Throwable().stackTrace.any { it.className == WaitTracker::class.java.name && it.methodName == "update" }
                if (isUpdate && updates.incrementAndGet() == 1) throw AssertionError("unexpected")
                return SystemClock.elapsed()
            }
        }

        describe("the periodic update") {
            // Guards against a service class that is reported as missing its target for ever.
            it("goes on after an error") {
                val clock = FailingClock()
                val tracker = WaitTracker(clock, Timeline("a", HybridClock(SystemClock)), Metrics())
                tracker.recordWait("interactive", 1.seconds, 2.seconds, "queue")
                tracker.start()
                withTimeoutOrNull(10.seconds) {
                    while (clock.updates.get() < 2) delay(10.milliseconds)
                } shouldNotBe null
                tracker.stop()
            }
        }
    })
