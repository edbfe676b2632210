package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class LocalLoadsSpec :
    DescribeSpec({
        fun LocalLoads.wait(server: String) = expectedWaitMillis(server, "app", 1000)

        fun LocalLoads.serve(
            number: Long,
            server: String,
            millis: Int,
            sentAt: Duration = Duration.ZERO,
        ) {
            recordSent(number, server, "app", 1000, sentAt)
            recordAnswering(number, sentAt + millis.milliseconds)
            recordEnded(number)
        }

        describe("the running requests of a server") {
            it("are counted until they end, however often their end is reported") {
                val loads = LocalLoads()
                loads.recordSent(1, "s", "app", 1000, Duration.ZERO)
                loads.recordSent(2, "s", "app", 1000, Duration.ZERO)
                loads.countRunning("s") shouldBe 2
                loads.recordAnswering(1, 50.milliseconds)
                loads.countRunning("s") shouldBe 2
                repeat(2) { loads.recordEnded(1) }
                loads.countRunning("s") shouldBe 1
                loads.recordEnded(2)
                loads.countRunning("s") shouldBe 0
                loads.wait("s") shouldBe (LocalLoads().wait("s") plusOrMinus 30.0)
            }
        }

        describe("the expected wait") {
            it("grows with prompt tokens that have not been answered, and less with requests that are being answered") {
                val loads = LocalLoads()
                val idle = loads.wait("s")
                loads.recordSent(1, "s", "app", 1000, Duration.ZERO)
                val pending = loads.wait("s")
                pending shouldBe (2.1 * idle plusOrMinus 0.01)
                loads.recordAnswering(1, idle.toInt().milliseconds)
                loads.wait("s") shouldBeLessThan pending
                loads.wait("s") shouldBeGreaterThan idle
            }

            it("is longer at a server that has answered slowly") {
                val loads = LocalLoads()
                repeat(4) { loads.serve(2L * it, "slow", millis = 200) }
                repeat(4) { loads.serve(2L * it + 1, "fast", millis = 50) }
                loads.wait("slow") shouldBeGreaterThan 1.5 * loads.wait("fast")
                loads.wait("unknown") shouldBeGreaterThan loads.wait("fast")
                loads.wait("unknown") shouldBeLessThan loads.wait("slow")
            }

            // Guards against a server that fails at once and would therefore look as if it had no load at all.
            it("is bounded for a server that answers at once") {
                val loads = LocalLoads()
                repeat(50) { loads.serve(2L * it, "normal", millis = 50) }
                repeat(5) { loads.serve(1000L + it, "failing", millis = 0) }
                loads.wait("failing") shouldBeGreaterThan loads.wait("normal") / 4
            }
        }
    })
