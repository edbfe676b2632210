package anvilslip.gateway

/** One order to an engine; it is refused unless the engine has taken [expectedOrders] orders before. */
public data class EngineOrder(
    val server: String,
    val address: String,
    val isLoad: Boolean,
    val model: String,
    /** Null for the base model itself. */
    val adapter: String?,
    /** Null for the newest. */
    val version: Long?,
    val expectedOrders: Long,
)
