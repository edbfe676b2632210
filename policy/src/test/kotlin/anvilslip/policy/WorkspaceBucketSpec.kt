package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WorkspaceBucketSpec :
    DescribeSpec({
        describe("the token bucket of a workspace") {
            it("admits a burst and delays further requests until it is refilled") {
                val bucket = WorkspaceBucket(rate = 100.0, burst = 100.0, level = 100.0, now = Duration.ZERO)
                bucket.waitTime(100.0, Duration.ZERO) shouldBe Duration.ZERO
                bucket.spend(100.0, Duration.ZERO)
                bucket.waitTime(50.0, Duration.ZERO) shouldBe 500.milliseconds
                bucket.spend(50.0, Duration.ZERO)
                bucket.waitTime(50.0, Duration.ZERO) shouldBe 1.seconds
            }

            it("admits a request larger than the burst once it is full") {
                val bucket = WorkspaceBucket(rate = 100.0, burst = 100.0, level = 100.0, now = Duration.ZERO)
                bucket.waitTime(250.0, Duration.ZERO) shouldBe Duration.ZERO
                bucket.spend(250.0, Duration.ZERO)
                bucket.waitTime(1.0, Duration.ZERO) shouldBe 1510.milliseconds
            }

            it("reports the tokens spent and refunded since the last report, without those that another bucket granted") {
                val bucket = WorkspaceBucket(rate = 100.0, burst = 100.0, level = 100.0, now = Duration.ZERO)
                bucket.takeUsage("w") shouldBe null
                bucket.spend(60.0, Duration.ZERO)
                bucket.refund(20.0)
                bucket.spendGranted(300.0, maxDebt = 100.0, now = Duration.ZERO)
                bucket.takeUsage("w") shouldBe LimitUsage("w", rate = 100.0, level = -100.0, charged = 60, refunded = 20)
                bucket.takeUsage("w") shouldBe null
            }

            it("keeps the tokens spent in any window within rate and burst at eight times the rate") {
                val random = Random(7)
                val bucket = WorkspaceBucket(rate = 1000.0, burst = 1000.0, level = 1000.0, now = Duration.ZERO)
                val runs = ArrayList<Pair<Duration, Double>>()
                var now = Duration.ZERO
                while (now < 30.seconds) {
                    now += random.nextInt(1, 50).milliseconds
                    val tokens = random.nextInt(50, 400).toDouble()
                    val wait = bucket.waitTime(tokens, now)
                    if (wait > 500.milliseconds) continue
                    bucket.spend(tokens, now)
                    runs += now + wait to tokens
                }
                for ((start, _) in runs) {
                    val spent = runs.filter { it.first >= start && it.first < start + 8.seconds }.sumOf { it.second }
                    spent shouldBeLessThanOrEqual 1000.0 * 8 + 1000.0 + 400.0
                }
            }
        }
    })
