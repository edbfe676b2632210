package anvilslip.gateway

/**
 * Gives orders again that were not answered. Each order names how many the engine must have taken before it, so an engine that
 * carries the first one out late refuses it once it has taken the second, and one that had taken the first refuses the second.
 */
internal class RetryingEngineClient(
    private val engineClient: EngineClient,
) : EngineClient by engineClient {
    override suspend fun sendOrder(
        order: EngineOrder,
        fencingToken: Long,
    ): OrderReply {
        var reply = engineClient.sendOrder(order, fencingToken)
        repeat(REPEATS) {
            if (reply != OrderReply.UNANSWERED) return reply
            reply = engineClient.sendOrder(order, fencingToken)
            if (reply == OrderReply.CONFLICT) return if (order.isLoad) OrderReply.TAKEN else OrderReply.HOLDS
        }
        return reply
    }

    private companion object {
        const val REPEATS = 2
    }
}
