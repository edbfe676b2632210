package anvilslip.gateway

import anvilslip.policy.BackendService
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

/** Guards against idle connections of all entry instances that together reach the limit of a server, which then resets new ones. */
class IdleConnectionShareSpec :
    DescribeSpec({
        describe("the idle connections that one instance keeps to a server") {
            it("are its share of half the limit of the server") {
                IdleConnectionShare.of(BackendService("s", 460), 66) shouldBe 3
                IdleConnectionShare.of(BackendService("s", 110), 9) shouldBe 6
            }

            it("are at least one and at most 64") {
                IdleConnectionShare.of(BackendService("s", 20), 66) shouldBe 1
                IdleConnectionShare.of(BackendService("s", Int.MAX_VALUE), 1) shouldBe 64
            }

            it("are few until the number of instances is known") {
                IdleConnectionShare.of(BackendService("s", 460), null) shouldBe 4
                IdleConnectionShare.of(null, 66) shouldBe 4
            }
        }
    })
