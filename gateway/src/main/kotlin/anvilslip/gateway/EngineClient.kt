package anvilslip.gateway

import anvilslip.policy.EngineInventory

/** Orders to model engines and questions about their state. */
public interface EngineClient {
    /** State of the engine [server] at [address]; null when it does not answer. */
    public suspend fun survey(
        server: String,
        address: String,
    ): EngineInventory?

    /** Orders [order], fenced by [fencingToken], which grows with each leader. */
    public suspend fun sendOrder(
        order: EngineOrder,
        fencingToken: Long,
    ): OrderReply
}
