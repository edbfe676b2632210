package anvilslip.gateway

import anvilslip.policy.EngineInventory

/** Sends load and unload orders to model engines and queries their state. */
public interface EngineClient {
    /** Returns the state of the engine [server] at [address]; null if it does not answer. */
    public suspend fun queryInventory(
        server: String,
        address: String,
    ): EngineInventory?

    /** Sends [order] with [fencingToken], which increases with each leader so that engines can reject orders of an earlier one. */
    public suspend fun sendOrder(
        order: EngineOrder,
        fencingToken: Long,
    ): OrderReply
}
