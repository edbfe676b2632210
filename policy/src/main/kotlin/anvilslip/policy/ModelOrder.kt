package anvilslip.policy

/** An order to load a base model on a server without one. */
public data class ModelOrder(
    val server: String,
    val address: String,
    val model: String,
    /** Number of orders that the server must have accepted before this one. */
    val expectedOrders: Long,
)
