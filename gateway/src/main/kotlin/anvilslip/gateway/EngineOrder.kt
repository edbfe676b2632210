package anvilslip.gateway

/** A load or unload order. The engine rejects it unless it has accepted exactly [expectedOrders] orders before. */
public data class EngineOrder(
    val server: String,
    val address: String,
    val isLoad: Boolean,
    val model: String,
    /** Null for the base model. */
    val adapter: String?,
    /** Null for the newest version. */
    val version: Long?,
    val expectedOrders: Long,
)
