package anvilslip.standin

import io.kotest.core.spec.style.DescribeSpec

/** Guards against adapters that are requested again and again and never served, because popular ones keep all adapter slots in use. */
class StarvedAdaptersSpec :
    DescribeSpec({
        fun seedsOf(
            adapterSlots: Int,
            requestsPerEngine: Double,
        ) = if (adapterSlots == 4 && requestsPerEngine == 14.0) 1L..2L else 1L..3L

        for (adapterSlots in listOf(4, 6)) {
            for (requestsPerEngine in listOf(10.0, 14.0)) {
                describe("$adapterSlots adapter slots on each engine and $requestsPerEngine requests a second per engine") {
                    for (seed in seedsOf(adapterSlots, requestsPerEngine)) {
                        it("leave few adapters unserved, seed $seed") { StarvationTrial(adapterSlots, requestsPerEngine).verify(seed) }
                    }
                }
            }
        }
    })
