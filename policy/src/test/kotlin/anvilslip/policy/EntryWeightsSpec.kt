package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against small instances that get as many clients as instances of several times their capacity. */
class EntryWeightsSpec :
    DescribeSpec({
        fun entry(
            host: String,
            capacity: Double,
        ) = EntryInstance(host, "$host:80", "z", "r", ready = true, capacity = capacity)

        describe("instances of equal capacity") {
            it("are listed once each, in their order") {
                val entries = listOf(entry("a", 0.36), entry("b", 0.36), entry("c", 0.36))
                EntryWeights.list(entries, 64) shouldContainExactly entries
            }
        }

        describe("instances of 0.27 and 0.9 of a core") {
            val entries = (1..17).map { entry("small-$it", 0.27) } + (1..6).map { entry("large-$it", 0.9) }

            it("get clients in proportion to their capacity") {
                val list = EntryWeights.list(entries, 64)
                val random = Random(1)
                val picked = (1..20_000).groupingBy { list.random(random).host }.eachCount()
                val small = picked.filterKeys { it.startsWith("small") }.values.average()
                val large = picked.filterKeys { it.startsWith("large") }.values.average()
                large / small shouldBeGreaterThan 2.7
                large / small shouldBeLessThan 3.7
            }

            it("are all named in a list that is cut off") {
                EntryWeights.list(entries, 24).toSet().size shouldBe 23
            }
        }

        describe("an instance that states no usable capacity") {
            it("is listed once") {
                EntryWeights.list(listOf(entry("a", 0.0), entry("b", 1.0)), 64).map { it.host } shouldContainExactly listOf("a", "b")
                EntryWeights.list(listOf(entry("a", 0.0)), 64).map { it.host } shouldContainExactly listOf("a")
            }
        }
    })
