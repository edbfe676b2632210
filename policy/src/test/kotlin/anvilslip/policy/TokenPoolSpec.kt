package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenPoolSpec :
    DescribeSpec({
        fun pool() = TokenPool().also { it.addGrant(Grant(epoch = 2, tokens = 10.0), askedAt = Duration.ZERO, now = 100.milliseconds) }

        describe("a reservation") {
            it("is spent before its grant expires") {
                val pool = pool()
                pool.commit(pool.reserve(5.0, 1.seconds)!!, 1999.milliseconds) shouldBe true
                pool.usage shouldBe Usage(2, spent = 5.0, returned = 0.0)
            }

            it("is not spent after its grant has expired, counted from the time of the grant request") {
                val pool = pool()
                pool.commit(pool.reserve(5.0, 1.seconds)!!, 2.seconds) shouldBe false
                pool.usage shouldBe Usage(2, spent = 0.0, returned = 5.0)
            }

            it("can be reserved again if it was cancelled in time") {
                val pool = pool()
                pool.cancel(pool.reserve(10.0, 1.seconds)!!, 1.seconds)
                (pool.reserve(10.0, 1.seconds) != null) shouldBe true
            }
        }

        describe("a reservation from several grants") {
            it("succeeds if the sum of the grants is affected by rounding") {
                val pool = TokenPool()
                pool.addGrant(Grant(epoch = 2, tokens = 0.1), askedAt = Duration.ZERO, now = Duration.ZERO)
                pool.addGrant(Grant(epoch = 2, tokens = 0.2), askedAt = Duration.ZERO, now = Duration.ZERO)
                (pool.reserve(0.1 + 0.2, Duration.ZERO) != null) shouldBe true
            }

            it("expires with the first of them, regardless of the order of earlier cancellations") {
                val pool = pool()
                pool.addGrant(Grant(epoch = 2, tokens = 10.0), askedAt = 1.seconds, now = 1.seconds)
                val first = pool.reserve(10.0, 1.seconds)!!
                val second = pool.reserve(10.0, 1.seconds)!!
                pool.cancel(first, 1.seconds)
                pool.cancel(second, 1.seconds)
                pool.reserve(20.0, 1.seconds)!!.expires shouldBe 2.seconds
            }
        }

        describe("a grant") {
            it("of an earlier epoch is ignored") {
                val pool = pool()
                pool.addGrant(Grant(epoch = 1, tokens = 50.0), askedAt = Duration.ZERO, now = 200.milliseconds)
                pool.reserve(20.0, 200.milliseconds) shouldBe null
                pool.usage.epoch shouldBe 2
            }

            it("that arrives after its lifetime is returned completely") {
                val pool = pool()
                pool.addGrant(Grant(epoch = 2, tokens = 7.0), askedAt = Duration.ZERO, now = 2.seconds)
                pool.usage.returned shouldBe 7.0
            }
        }
    })
