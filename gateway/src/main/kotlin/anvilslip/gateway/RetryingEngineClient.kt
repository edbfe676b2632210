package anvilslip.gateway

/**
 * Retries orders that were not answered. Each order states how many the engine must have accepted before it, so at most one of two
 * copies is accepted: an engine that receives the first copy late rejects it after accepting the second, and the other way round.
 * An [OrderReply.CONFLICT] in reply to a retry therefore means that an earlier copy was accepted.
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
            if (reply == OrderReply.CONFLICT) return if (order.isLoad) OrderReply.TAKEN else OrderReply.HOLDS
        }
        return reply
    }

    private companion object {
        const val MAX_RETRIES = 2
    }
}
