package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

/** Guards against instances that choose different engines or delegates, and against a few that are chosen for everything. */
class LoadRankingSpec :
    DescribeSpec({
        fun engine(
            id: String,
            service: String = "llm",
            phase: ServerPhase = ServerPhase.READY,
            model: String = "m",
        ) = ServerReport(id, service, "$id:80", "z", phase, models = listOf(LoadedModel(model)))

        val hosts = (1..68).map { "10.0.1.$it" }.toSet()
        val engines = (1..98).map { engine("engine$it") }

        describe("the delegates of an engine") {
            it("are the same for every order of the hosts") {
                val shuffled = hosts.shuffled(kotlin.random.Random(3)).toSet()
                for (engine in engines) LoadRanking.delegates(engine.id, shuffled) shouldBe LoadRanking.delegates(engine.id, hosts)
            }

            it("change only for the engines of an instance that is lost, and pass to the next in the ranking") {
                val lost = hosts.first()
                for (engine in engines) {
                    val before = LoadRanking.delegates(engine.id, hosts)
                    val after = LoadRanking.delegates(engine.id, hosts - lost)
                    if (lost in before) after.first() shouldBe before.first { it != lost } else after shouldBe before
                }
            }

            it("are spread over the instances") {
                val counts = engines.groupingBy { LoadRanking.delegates(it.id, hosts).first() }.eachCount()
                counts.size shouldBeInRange 40..68
                counts.values.max() shouldBeInRange 2..7
            }

            it("never include hosts that have no fencing token of their own") {
                val ambiguous = setOf("10.0.0.0", "host", "10.1.1.1", "11.1.1.1", "10.2.2.2")
                LoadRanking.delegates("engine", ambiguous) shouldContainExactly listOf("10.2.2.2")
            }
        }

        describe("the home engines of an adapter") {
            it("are ready engines of the service that hold the model") {
                val others = listOf(engine("x", service = "other"), engine("y", phase = ServerPhase.DRAINING), engine("z", model = "n"))
                val homes = LoadRanking.homeEngines("llm", "m", "a", others + engine("b") + engine("c"))
                homes.map { it.id } shouldContainExactlyInAnyOrder listOf("b", "c")
            }

            it("are spread over the engines") {
                val counts = (1..980).flatMap { LoadRanking.homeEngines("llm", "m", "a$it", engines) }.groupingBy { it.id }.eachCount()
                counts.size shouldBe engines.size
                counts.values.max() shouldBeInRange 20..45
            }
        }
    })
