package anvilslip.gateway

import anvilslip.kernel.SystemClock
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a warm-up that takes the processor from real requests, or that keeps resources when it is cut short. */
class WarmUpServiceSpec :
    DescribeSpec({
        /** Work that goes on until it is cancelled. */
        class EndlessWork : WarmUpWork {
            val started = CompletableDeferred<Unit>()
            val released = CompletableDeferred<Unit>()

            override suspend fun run(): WarmUpWork.Result =
                try {
                    started.complete(Unit)
                    awaitCancellation()
                } finally {
                    released.complete(Unit)
                }
        }

        fun service(
            isNeeded: Boolean = true,
            isDue: () -> Boolean = { true },
            work: WarmUpWork,
        ) = WarmUpService("test-warm-up", SystemClock, { isNeeded }, isDue, work)

        describe("a warm-up") {
            it("ends at once when a real request arrives") {
                val work = EndlessWork()
                val service = service(work = work)
                service.start()
                withTimeout(5.seconds) { work.started.await() }
                service.recordTraffic()
                withTimeout(5.seconds) { work.released.await() }
                service.stop()
            }

            it("ends when its instance stops, and has released its resources by then") {
                val work = EndlessWork()
                val service = service(work = work)
                service.start()
                withTimeout(5.seconds) { work.started.await() }
                service.stop()
                work.released.isCompleted shouldBe true
            }

            it("does not begin after a real request has arrived") {
                val work = EndlessWork()
                val service = service(work = work)
                service.recordTraffic()
                service.start()
                delay(100.milliseconds)
                work.started.isCompleted shouldBe false
                service.stop()
            }

            it("does not begin if it is not needed") {
                val work = EndlessWork()
                val service = service(isNeeded = false, work = work)
                service.start()
                delay(100.milliseconds)
                work.started.isCompleted shouldBe false
                service.stop()
            }

            it("begins once it is due") {
                val polls = AtomicInteger()
                val work = EndlessWork()
                val service = service(isDue = { polls.incrementAndGet() >= 2 }, work = work)
                service.start()
                withTimeout(5.seconds) { work.started.await() }
                polls.get() shouldBe 2
                service.stop()
            }

            it("is run once, and a failure has no effect on the instance") {
                val runs = AtomicInteger()
                val service =
                    service {
                        runs.incrementAndGet()
                        throw IOException("no port")
                    }
                service.start()
                eventually(5.seconds) { runs.get() shouldBe 1 }
                delay(300.milliseconds)
                service.stop()
                runs.get() shouldBe 1
            }
        }
    })
