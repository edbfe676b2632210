package anvilslip.kernel

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class SizedQueueSpec :
    DescribeSpec({
        fun queue(
            capacity: Int = 10,
            capacityBytes: Long = 10,
        ) = SizedQueue<String>(capacity, capacityBytes) { it.length }

        describe("a queue") {
            it("returns its elements in order") {
                val queue = queue()
                listOf("a", "bb", "ccc").forEach { queue.trySend(it) shouldBe true }
                List(3) { queue.receive() } shouldBe listOf("a", "bb", "ccc")
                queue.tryReceive() shouldBe null
            }

            it("accepts no more elements than its capacity") {
                val queue = queue(capacity = 2)
                repeat(2) { queue.trySend("") shouldBe true }
                queue.trySend("") shouldBe false
            }

            it("accepts no more bytes than its capacity, and more again once elements are removed") {
                val queue = queue()
                queue.trySend("123456") shouldBe true
                queue.trySend("12345") shouldBe false
                queue.trySend("1234") shouldBe true
                queue.queuedBytes shouldBe 10
                queue.tryReceive() shouldBe "123456"
                queue.trySend("12345") shouldBe true
                queue.queuedBytes shouldBe 9
            }

            it("accepts an element that is larger than its capacity only while it is empty") {
                val queue = queue()
                queue.trySend("12345678901") shouldBe true
                queue.trySend("1") shouldBe false
                queue.receive()
                queue.trySend("1") shouldBe true
                queue.trySend("12345678901") shouldBe false
            }

            it("counts no elements that were rejected for their number") {
                val queue = queue(capacity = 1)
                queue.trySend("12") shouldBe true
                repeat(9) { queue.trySend("12") shouldBe false }
                queue.queuedBytes shouldBe 2
            }
        }
    })
