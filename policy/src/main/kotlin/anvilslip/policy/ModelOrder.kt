package anvilslip.policy

/** A base model to be loaded on a server that holds none. */
public data class ModelOrder(
    val server: String,
    val address: String,
    val model: String,
    /** Orders that the server must have taken before this one. */
    val expectedOrders: Long,
)
