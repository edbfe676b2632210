package anvilslip.control

import anvilslip.kernel.Clock
import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import anvilslip.kernel.Timeline
import anvilslip.policy.PlacementOptions
import anvilslip.state.FileStorage
import anvilslip.state.Replica
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeaderServiceSpec :
    DescribeSpec({
        /** Clock that fails the first time that a tick reads it, and counts these times. */
        class FailingClock : Clock by SystemClock {
            val ticks = AtomicInteger()

            override fun elapsed(): Duration {
                val isTick = Throwable().stackTrace.any { it.className == LeaderService::class.java.name && it.methodName == "tick" }
                if (isTick && ticks.incrementAndGet() == 1) throw AssertionError("unexpected")
                return SystemClock.elapsed()
            }
        }

        describe("the ticks of a leader") {
            // Guards against a leader that keeps its lease but neither expires anything nor places adapters any more.
            it("go on after an error") {
                val replica = Replica("a", setOf("a"), FileStorage(tempdir().toPath()), { _, _ -> }, SystemClock)
                val clock = FailingClock()
                val leader = LeaderService(replica, AcceptingLoader, PlacementOptions(), clock, Timeline("a", HybridClock(SystemClock)))
                replica.start()
                leader.start()
                withTimeoutOrNull(10.seconds) {
                    while (clock.ticks.get() < 50) delay(10.milliseconds)
                } shouldNotBe null
                leader.stop()
                replica.stop()
            }
        }
    })
