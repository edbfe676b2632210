package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

/** Guards against a leader that forgets the debts of workspaces whenever its lease lapses for a moment. */
class TermStateSpec :
    DescribeSpec({
        describe("the state of a leader") {
            it("is kept when the lease of the same term is renewed after it has lapsed") {
                val state = TermState<String>()
                state.of(3) { "first" } shouldBe "first"
                state.of(3) { "second" } shouldBe "first"
            }

            it("is created anew in a later term, in which another leader may have decided before") {
                val state = TermState<String>()
                state.of(3) { "first" }
                state.of(5) { "second" } shouldBe "second"
            }
        }
    })
