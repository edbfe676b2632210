package anvilslip.standin

import io.kotest.core.spec.style.DescribeSpec

/** The case of [StarvedAdaptersSpec] in which too many adapters stay unserved; listed in KNOWN-RED.txt. */
class StarvedAdaptersOfFewSlotsSpec :
    DescribeSpec({
        describe("4 adapter slots on each engine and 14.0 requests a second per engine") {
            it("leave few adapters unserved, seed 3") { StarvationTrial(adapterSlots = 4, requestsPerEngine = 14.0).verify(3) }
        }
    })
