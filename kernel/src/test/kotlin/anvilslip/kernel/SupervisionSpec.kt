package anvilslip.kernel

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Guards against processes that run on without a part that they need. */
@OptIn(ExperimentalCoroutinesApi::class)
class SupervisionSpec :
    DescribeSpec({
        /** A part whose calls fail with [failures] in turn and then go on without an end. */
        class Part(
            test: TestScope,
            private val failures: MutableList<Throwable>,
        ) {
            val startedAt = mutableListOf<Long>()
            val uncaught = mutableListOf<Throwable>()
            private val handler = CoroutineExceptionHandler { _, error -> uncaught += error }
            val scope = CoroutineScope(SupervisorJob() + StandardTestDispatcher(test.testScheduler) + handler)
            val job =
                scope.launchSupervised("part") {
                    startedAt += test.currentTime
                    failures.removeFirstOrNull()?.let { throw it }
                    awaitCancellation()
                }
        }

        describe("a part that fails") {
            it("is started again, whatever it failed with") {
                val failures = listOf(IllegalStateException(), AssertionError(), StackOverflowError(), CancellationException("of a callee"))
                for (failure in failures) {
                    runTest {
                        val part = Part(this, mutableListOf(failure))
                        advanceTimeBy(1.minutes)
                        part.startedAt shouldContainExactly listOf(0L, 100L)
                        part.job.isActive shouldBe true
                        part.uncaught.shouldBeEmpty()
                        part.job.cancel()
                    }
                }
            }

            it("is started again at growing intervals, and ends the process if it makes no progress") {
                runTest {
                    val part = Part(this, MutableList(20) { IllegalStateException("broken") })
                    advanceTimeBy(1.minutes)
                    part.startedAt shouldContainExactly listOf<Long>(0, 100, 300, 700, 1500, 2500, 3500, 4500, 5500, 6500)
                    val exits = mutableListOf<Int>()
                    FatalErrorHandler { exits += it }.uncaughtException(Thread.currentThread(), part.uncaught.single())
                    exits shouldContainExactly listOf(FatalErrorHandler.EXIT_FATAL_ERROR)
                    part.uncaught.single().message shouldBe
                        "part 'part' failed 10 times without progress, last with java.lang.IllegalStateException: broken"
                }
            }

            it("ends the process at once after a fatal error") {
                runTest {
                    val part = Part(this, mutableListOf(OutOfMemoryError("Direct buffer memory")))
                    advanceTimeBy(1.minutes)
                    part.startedAt.size shouldBe 1
                    part.uncaught.single().isFatal shouldBe true
                }
            }
        }

        describe("a part that is cancelled") {
            it("is not started again") {
                runTest {
                    val part = Part(this, mutableListOf())
                    advanceTimeBy(10.milliseconds)
                    part.job.cancel()
                    advanceTimeBy(1.minutes)
                    part.startedAt.size shouldBe 1
                    part.uncaught.shouldBeEmpty()
                }
            }
        }

        describe("a periodic part") {
            it("goes on after any number of failures with progress in between") {
                runTest {
                    var calls = 0
                    val scope = CoroutineScope(SupervisorJob() + StandardTestDispatcher(testScheduler))
                    val job = scope.launchPeriodically("part", 50.milliseconds) { if (calls++ % 2 == 0) throw AssertionError() }
                    advanceTimeBy(1.minutes)
                    job.isActive shouldBe true
                    (calls > 3 * MAX_PART_FAILURES) shouldBe true
                    job.cancel()
                }
            }
        }
    })
