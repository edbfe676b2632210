package anvilslip.entry.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random

private const val KIBIBYTE = 1024
private const val CAPACITY = 1024 * KIBIBYTE

class AnswerBudgetSpec :
    DescribeSpec({
        class Fixture {
            val givenUp = ConcurrentLinkedQueue<String>()
            val budget = AnswerBudget(CAPACITY.toLong())

            fun open(
                name: String,
                bytes: Int = 0,
                hasStatedLength: Boolean = false,
            ): AnswerMemory {
                lateinit var memory: AnswerMemory
                memory =
                    budget.open {
                        givenUp += name
                        memory.releaseAllBut(0)
                    }
                memory.hasStatedLength = hasStatedLength
                if (bytes > 0) memory.tryReserve(bytes) shouldBe true
                return memory
            }
        }

        describe("a budget that is full of answers that are still arriving") {
            it("gives up the largest of those that have no stated length") {
                val fixture = Fixture()
                fixture.open("stated", 400 * KIBIBYTE, hasStatedLength = true)
                fixture.open("large", 200 * KIBIBYTE)
                fixture.open("smaller", 100 * KIBIBYTE)
                fixture.open("next", 200 * KIBIBYTE)
                fixture.givenUp.toList() shouldContainExactly listOf("large")
                fixture.budget.heldBytes shouldBe 700 * KIBIBYTE
            }

            it("gives up the answer that asks, if that is the largest") {
                val fixture = Fixture()
                fixture.open("other", 300 * KIBIBYTE)
                val endless = fixture.open("endless", 400 * KIBIBYTE)
                endless.tryReserve(100 * KIBIBYTE) shouldBe false
                fixture.givenUp.toList() shouldContainExactly listOf("endless")
                fixture.budget.heldBytes shouldBe 300 * KIBIBYTE
                endless.tryReserve(1) shouldBe false
            }

            it("does not give up small answers for a large one") {
                val fixture = Fixture()
                repeat(10) { fixture.open("small", 50 * KIBIBYTE) }
                fixture.open("stated", 200 * KIBIBYTE, hasStatedLength = true).tryReserve(100 * KIBIBYTE) shouldBe false
                fixture.givenUp.toList() shouldContainExactly listOf("stated")
            }

            it("has room for a small answer beside large ones") {
                val fixture = Fixture()
                fixture.open("large", 768 * KIBIBYTE)
                repeat(4) { fixture.open("small", 60 * KIBIBYTE) }
                fixture.givenUp.shouldBeEmpty()
            }
        }

        describe("an answer that has arrived completely") {
            it("is not given up for another one") {
                val fixture = Fixture()
                fixture.open("complete", 700 * KIBIBYTE).complete()
                fixture.open("next", 60 * KIBIBYTE).tryReserve(100 * KIBIBYTE) shouldBe false
                fixture.givenUp.toList() shouldContainExactly listOf("next")
            }

            it("counts after its account was closed until who keeps it gives it back, once") {
                val fixture = Fixture()
                val memory = fixture.open("complete", 700 * KIBIBYTE)
                val held = memory.split(600L * KIBIBYTE)
                memory.close()
                fixture.budget.heldBytes shouldBe 600 * KIBIBYTE
                repeat(2) { held.close() }
                fixture.budget.heldBytes shouldBe 0
            }
        }

        describe("answers of many threads at the same time") {
            it("never take more than the budget, and give back all") {
                val fixture = Fixture()
                val largest = ConcurrentLinkedQueue<Long>()
                val threads =
                    List(8) { seed ->
                        thread {
                            val random = Random(seed)
                            repeat(2_000) {
                                val memory = fixture.open("$seed")
                                repeat(random.nextInt(40)) { memory.tryReserve(random.nextInt(1, 64 * KIBIBYTE)) }
                                largest += fixture.budget.heldBytes
                                if (random.nextBoolean()) memory.complete()
                                memory.close()
                            }
                        }
                    }
                threads.forEach { it.join() }
                largest.max() shouldBeLessThanOrEqual CAPACITY.toLong()
                fixture.budget.heldBytes shouldBe 0
            }
        }
    })
