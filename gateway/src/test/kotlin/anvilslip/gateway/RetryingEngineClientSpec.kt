package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class RetryingEngineClientSpec :
    DescribeSpec({
        val load = EngineOrder("s", "s:80", isLoad = true, model = "m", adapter = "a", version = null, expectedOrders = 4)

        suspend fun ScriptedEngineClient.order(order: EngineOrder = load) = RetryingEngineClient(this).sendOrder(order, 1)

        describe("an order that is not answered") {
            it("is retried at once with the same number of expected orders") {
                val engine = ScriptedEngineClient(OrderReply.UNANSWERED, OrderReply.TAKEN)
                engine.order() shouldBe OrderReply.TAKEN
                engine.sentOrders shouldBe listOf(load, load)
            }

            it("counts as accepted if a retry conflicts, since the engine has then accepted the first copy") {
                ScriptedEngineClient(OrderReply.UNANSWERED, OrderReply.CONFLICT).order() shouldBe OrderReply.TAKEN
                ScriptedEngineClient(OrderReply.UNANSWERED, OrderReply.CONFLICT).order(load.copy(isLoad = false)) shouldBe OrderReply.HOLDS
            }

            it("is abandoned after three attempts") {
                ScriptedEngineClient(OrderReply.UNANSWERED, OrderReply.UNANSWERED, OrderReply.UNANSWERED).order() shouldBe
                    OrderReply.UNANSWERED
            }
        }

        describe("an order whose first attempt is rejected") {
            it("is not retried") {
                ScriptedEngineClient(OrderReply.CONFLICT).order() shouldBe OrderReply.CONFLICT
            }
        }
    })
