package anvilslip.gateway

import anvilslip.policy.EngineInventory
import anvilslip.policy.LoadedModel
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class RetryingEngineClientSpec :
    DescribeSpec({
        val load = EngineOrder("s", "s:80", isLoad = true, model = "m", adapter = "a", version = null, expectedOrders = 4)

        suspend fun ScriptedEngineClient.order(order: EngineOrder = load) = RetryingEngineClient(this).sendOrder(order, 1)

        val unload = load.copy(isLoad = false)

        suspend fun conflictOnRetry(
            order: EngineOrder,
            inventory: EngineInventory?,
        ) = ScriptedEngineClient(OrderReply.UNANSWERED, OrderReply.CONFLICT, inventory = inventory).order(order)

        describe("an order that is not answered") {
            it("is retried at once with the same number of expected orders") {
                val engine = ScriptedEngineClient(OrderReply.UNANSWERED, OrderReply.TAKEN)
                engine.order() shouldBe OrderReply.TAKEN
                engine.sentOrders shouldBe listOf(load, load)
            }

            it("counts as accepted if a retry conflicts and the engine reports it as the only order carried out since") {
                val loaded = EngineInventory(orders = 5, models = listOf(LoadedModel("m", mapOf("a" to 1))))
                val loading = EngineInventory(orders = 5, models = listOf(LoadedModel("m", emptyMap())), pending = mapOf("m" to setOf("a")))
                val unloaded = EngineInventory(orders = 5, models = listOf(LoadedModel("m", emptyMap())))
                conflictOnRetry(load, loaded) shouldBe OrderReply.TAKEN
                conflictOnRetry(load, loading) shouldBe OrderReply.TAKEN
                conflictOnRetry(unload, unloaded) shouldBe OrderReply.HOLDS
            }

            it("does not count as accepted if the engine has carried out a late order of the same number instead") {
                val other = EngineInventory(orders = 5, models = listOf(LoadedModel("m", mapOf("a" to 1, "late" to 1))))
                conflictOnRetry(unload, other) shouldBe OrderReply.UNANSWERED
                conflictOnRetry(load.copy(adapter = "b"), other) shouldBe OrderReply.UNANSWERED
            }

            it("does not count as accepted if the engine is busy, has carried out more orders, or does not report") {
                val held = listOf(LoadedModel("m", mapOf("a" to 1)))
                conflictOnRetry(load, EngineInventory(orders = 4, models = held)) shouldBe OrderReply.UNANSWERED
                conflictOnRetry(load, EngineInventory(orders = 6, models = held)) shouldBe OrderReply.UNANSWERED
                conflictOnRetry(load, null) shouldBe OrderReply.UNANSWERED
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
