package anvilslip.gateway

import anvilslip.policy.EngineInventory
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class RetryingEngineClientSpec :
    DescribeSpec({
        /** An engine that answers orders with [replies] in turn. */
        class Scripted(
            vararg replies: OrderReply,
        ) : EngineClient {
            val replies = ArrayDeque(replies.toList())
            val given = ArrayList<EngineOrder>()

            override suspend fun survey(
                server: String,
                address: String,
            ): EngineInventory? = null

            override suspend fun sendOrder(
                order: EngineOrder,
                fencingToken: Long,
            ): OrderReply {
                given += order
                return replies.removeFirst()
            }
        }

        val load = EngineOrder("s", "s:80", isLoad = true, model = "m", adapter = "a", version = null, expectedOrders = 4)

        suspend fun Scripted.order(order: EngineOrder = load) = RetryingEngineClient(this).sendOrder(order, 1)

        describe("an order that is not answered") {
            it("is given again at once, as the one after the same number of orders") {
                val engine = Scripted(OrderReply.UNANSWERED, OrderReply.TAKEN)
                engine.order() shouldBe OrderReply.TAKEN
                engine.given shouldBe listOf(load, load)
            }

            it("was taken when the engine has taken one more by then") {
                Scripted(OrderReply.UNANSWERED, OrderReply.CONFLICT).order() shouldBe OrderReply.TAKEN
                Scripted(OrderReply.UNANSWERED, OrderReply.CONFLICT).order(load.copy(isLoad = false)) shouldBe OrderReply.HOLDS
            }

            it("is given up after three times") {
                Scripted(OrderReply.UNANSWERED, OrderReply.UNANSWERED, OrderReply.UNANSWERED).order() shouldBe OrderReply.UNANSWERED
            }
        }

        describe("an order that is refused at first") {
            it("is not given again") {
                Scripted(OrderReply.CONFLICT).order() shouldBe OrderReply.CONFLICT
            }
        }
    })
