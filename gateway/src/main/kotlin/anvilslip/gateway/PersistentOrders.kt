package anvilslip.gateway

/**
 * Gives orders again that were not answered. Each order names how many the engine must have taken before it, so an engine that
 * carries the first one out late refuses it once it has taken the second, and one that had taken the first refuses the second.
 */
internal class PersistentOrders(
    private val orders: EngineOrders,
) : EngineOrders by orders {
    override suspend fun give(
        order: EngineOrder,
        fencing: Long,
    ): OrderReply {
        var reply = orders.give(order, fencing)
        repeat(REPEATS) {
            if (reply != OrderReply.UNANSWERED) return reply
            reply = orders.give(order, fencing)
            if (reply == OrderReply.CONFLICT) return if (order.load) OrderReply.TAKEN else OrderReply.HOLDS
        }
        return reply
    }

    private companion object {
        const val REPEATS = 2
    }
}
