package anvilslip.gateway

import anvilslip.policy.EngineInventory

/**
 * Retries orders that were not answered. Each order states how many the engine must have accepted before it, so at most one of two
 * copies is accepted: an engine that receives the first copy late rejects it after accepting the second, and the other way round.
 *
 * A conflict in reply to a retry is no proof that an earlier copy was accepted: a late order of a previous leader, or one that had been
 * given up, may have been instead. The order counts as accepted only if the engine reports it as carried out and as the only one since.
 */
internal class RetryingEngineClient(
    private val engineClient: EngineClient,
) : EngineClient by engineClient {
    override suspend fun sendOrder(
        order: EngineOrder,
        fencingToken: Long,
    ): OrderReply {
        var reply = engineClient.sendOrder(order, fencingToken)
        repeat(MAX_RETRIES) {
            if (reply != OrderReply.UNANSWERED) return reply
            reply = engineClient.sendOrder(order, fencingToken)
            if (reply == OrderReply.CONFLICT) return replyAfterConflict(order)
        }
        return reply
    }

    private suspend fun replyAfterConflict(order: EngineOrder): OrderReply {
        val inventory = engineClient.queryInventory(order.server, order.address) ?: return OrderReply.UNANSWERED
        if (inventory.orders != order.expectedOrders + 1 || inventory.holds(order) != order.isLoad) return OrderReply.UNANSWERED
        return if (order.isLoad) OrderReply.TAKEN else OrderReply.HOLDS
    }

    /** True if the engine has what [order] names, or is loading it. */
    private fun EngineInventory.holds(order: EngineOrder): Boolean {
        val model = models.firstOrNull { it.name == order.model }
        if (order.adapter == null) return model != null
        return order.adapter in model?.adapters.orEmpty() || order.adapter in pending[order.model].orEmpty()
    }

    private companion object {
        const val MAX_RETRIES = 2
    }
}
