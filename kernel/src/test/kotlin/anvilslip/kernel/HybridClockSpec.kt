package anvilslip.kernel

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class HybridClockSpec :
    DescribeSpec({
        describe("HybridClock") {
            it("orders a cause before its effect even if wall clocks differ") {
                val ahead = HybridClock(ManualClock(Instant.fromEpochSeconds(1000)))
                val behind = HybridClock(ManualClock(Instant.fromEpochSeconds(10)))
                val cause = ahead.next()
                behind.observe(cause)
                behind.next() shouldBeGreaterThan cause
            }

            it("increments the counter while the wall clock does not advance") {
                val clock = ManualClock()
                val hybridClock = HybridClock(clock)
                val first = hybridClock.next()
                hybridClock.next() shouldBe Stamp(first.millis, 1)
                clock.advance(1.seconds)
                hybridClock.next().counter shouldBe 0
            }
        }
    })
