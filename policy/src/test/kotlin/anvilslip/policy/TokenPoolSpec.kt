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
            it("is spent while its grant lasts") {
                val pool = pool()
                pool.commit(pool.reserve(5.0, 1.seconds)!!, 1999.milliseconds) shouldBe true
                pool.usage shouldBe Usage(2, spent = 5.0, returned = 0.0)
            }

            it("is not spent once its grant has expired, counted from the asking") {
                val pool = pool()
                pool.commit(pool.reserve(5.0, 1.seconds)!!, 2.seconds) shouldBe false
                pool.usage shouldBe Usage(2, spent = 0.0, returned = 5.0)
            }

            it("can be taken again when it was given up in time") {
                val pool = pool()
                pool.cancel(pool.reserve(10.0, 1.seconds)!!, 1.seconds)
                (pool.reserve(10.0, 1.seconds) != null) shouldBe true
            }
        }

        describe("a reservation from several grants") {
            it("is met when their sum is rounded up") {
                val pool = TokenPool()
                pool.addGrant(Grant(epoch = 2, tokens = 0.1), askedAt = Duration.ZERO, now = Duration.ZERO)
                pool.addGrant(Grant(epoch = 2, tokens = 0.2), askedAt = Duration.ZERO, now = Duration.ZERO)
                (pool.reserve(0.1 + 0.2, Duration.ZERO) != null) shouldBe true
            }

            it("expires with the first of them, in whichever order they were given up before") {
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
            it("of an earlier epoch is dead") {
                val pool = pool()
                pool.addGrant(Grant(epoch = 1, tokens = 50.0), askedAt = Duration.ZERO, now = 200.milliseconds)
                pool.reserve(20.0, 200.milliseconds) shouldBe null
                pool.usage.epoch shouldBe 2
            }

            it("that arrives too late goes back whole") {
                val pool = pool()
                pool.addGrant(Grant(epoch = 2, tokens = 7.0), askedAt = Duration.ZERO, now = 2.seconds)
                pool.usage.returned shouldBe 7.0
            }
        }
    })
