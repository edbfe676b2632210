package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class EntryCountSpec :
    DescribeSpec({
        describe("the number of entry instances that control instances report") {
            it("is unknown until one has counted them") {
                val count = EntryCount()
                count.record("a", 0, Duration.ZERO)
                count.current(Duration.ZERO) shouldBe null
            }

            it("does not fall when a control instance restarts and has heard of a few only") {
                val count = EntryCount()
                count.record("a", 9, Duration.ZERO)
                count.record("a", 0, 1.seconds)
                count.record("a", 2, 2.seconds)
                count.current(2.seconds) shouldBe 9
            }

            it("is the largest of several reports") {
                val count = EntryCount()
                count.record("a", 9, Duration.ZERO)
                count.record("b", 6, Duration.ZERO)
                count.current(Duration.ZERO) shouldBe 9
            }

            it("falls after entry instances were removed for good") {
                val count = EntryCount()
                count.record("a", 9, Duration.ZERO)
                count.record("a", 6, 59.seconds)
                count.current(59.seconds) shouldBe 9
                count.record("a", 6, 60.seconds)
                count.current(60.seconds) shouldBe 6
            }
        }
    })
