package anvilslip.gateway

import anvilslip.policy.EngineInventory

/** An engine that answers successive orders with [replies]. */
internal class ScriptedEngineClient(
    vararg replies: OrderReply,
    private val inventory: EngineInventory? = null,
) : EngineClient {
    val replies = ArrayDeque(replies.toList())
    val sentOrders = ArrayList<EngineOrder>()
    val sentTokens = ArrayList<Long>()

    override suspend fun queryInventory(
        server: String,
        address: String,
    ): EngineInventory? = inventory

    override suspend fun sendOrder(
        order: EngineOrder,
        fencingToken: Long,
    ): OrderReply {
        sentTokens += fencingToken
        sentOrders += order
        return replies.removeFirst()
    }
}
