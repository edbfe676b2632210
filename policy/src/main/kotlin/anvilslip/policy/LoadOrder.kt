package anvilslip.policy

/** An order to load an adapter on a server, after [evict] is unloaded if it is not null. */
public data class LoadOrder(
    val server: String,
    val address: String,
    val model: String,
    val adapter: String,
    val version: Long?,
    val evict: String?,
)
