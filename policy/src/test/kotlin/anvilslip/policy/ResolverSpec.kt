package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe

class ResolverSpec :
    DescribeSpec({
        val view = FleetView(instances = (1..6).map { InstanceView("i$it", "az${it % 3}", "a$it", draining = it == 4) })

        describe("the ranking of instances") {
            it("puts instances in the zone of the client first") { Resolver.rank(view, "az2", "x").first().zone shouldBe "az2" }

            it("is the same for the same affinity") { Resolver.rank(view, null, "x") shouldContainExactly Resolver.rank(view, null, "x") }

            it("excludes draining instances") { Resolver.rank(view, null, "x").map { it.name } shouldNotContain "i4" }
        }
    })
