package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ColdStartLimiterSpec :
    DescribeSpec({
        fun ColdStartLimiter.take(
            at: Duration,
            now: Duration = at,
            limit: Int = 3,
        ) = hasRoom("a", at, now, limit).also { if (it) record("a", at, now) }

        describe("a cold server") {
            it("gets its limit in one second, and more in the next") {
                val limiter = ColdStartLimiter(Duration.ZERO, hasPredecessor = false)
                List(5) { limiter.take(100.milliseconds * it) } shouldBe listOf(true, true, true, false, false)
                limiter.take(999.milliseconds) shouldBe false
                limiter.take(1.seconds) shouldBe true
            }

            it("never gets more in any second, whatever the holds and their order") {
                val random = Random(7)
                repeat(200) {
                    val limiter = ColdStartLimiter(Duration.ZERO, hasPredecessor = false)
                    val limit = random.nextInt(1, 9)
                    var now = Duration.ZERO
                    val sent = ArrayList<Duration>()
                    repeat(300) {
                        now += random.nextInt(0, 40).milliseconds
                        val at = now + random.nextInt(0, 500).milliseconds
                        if (limiter.take(at, now, limit)) sent += at
                    }
                    for (start in sent) sent.count { it >= start && it < start + 1.seconds } shouldBeLessThanOrEqual limit
                }
            }

            it("gets nothing that is held back for so long that it could run after the term of the leader") {
                ColdStartLimiter(Duration.ZERO, hasPredecessor = false).take(600.milliseconds, Duration.ZERO) shouldBe false
            }

            it("gets nothing of a new leader until the last requests of its predecessor are a second old") {
                val limiter = ColdStartLimiter(10.seconds, hasPredecessor = true)
                limiter.take(11.4.seconds) shouldBe false
                limiter.take(11.5.seconds) shouldBe true
            }
        }

        describe("the limit") {
            val service = BackendService("s", 1, coldStart = 3.seconds, coldRequestsPerSecond = 8.2)

            it("is what the server tolerates, at most half of the bound") {
                ColdStartLimiter.limit(service, DispatchOptions(coldOvershoot = 1.5, coldSlack = 5.0)) shouldBe 8
                ColdStartLimiter.limit(service, DispatchOptions(coldOvershoot = 1.0, coldSlack = 0.0)) shouldBe 4
            }
        }
    })
