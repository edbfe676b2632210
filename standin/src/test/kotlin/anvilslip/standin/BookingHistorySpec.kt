package anvilslip.standin

import anvilslip.standin.BookingHistory.Told
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class BookingHistorySpec :
    DescribeSpec({
        describe("BookingHistory.violations") {
            it("accepts a history without violations") {
                val told = mapOf("a" to Told.ANSWERED, "b" to Told.NOT_RUN, "c" to Told.UNKNOWN, "d" to Told.UNKNOWN)
                BookingHistory(told, listOf("a", "c")).violations().shouldBeEmpty()
            }

            it("rejects a booking that ran twice") {
                BookingHistory(mapOf("a" to Told.ANSWERED), listOf("a", "a")).violations() shouldBe listOf("a ran 2 times")
            }

            it("rejects an answered booking that never ran") {
                BookingHistory(mapOf("a" to Told.ANSWERED), emptyList()).violations() shouldBe listOf("a was answered but never ran")
            }

            it("rejects a booking that was reported as not run but ran") {
                BookingHistory(mapOf("a" to Told.NOT_RUN), listOf("a")).violations() shouldBe listOf("a was said not to have run but ran")
            }

            it("rejects a run of a booking that was never sent") {
                BookingHistory(emptyMap(), listOf("a")).violations() shouldBe listOf("a ran but nobody asked for it")
            }
        }
    })
