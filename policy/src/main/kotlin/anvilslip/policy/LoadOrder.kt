package anvilslip.policy

/** An adapter to be loaded on a server, after [evict] has made room where it is not null. */
public data class LoadOrder(
    val server: String,
    val address: String,
    val model: String,
    val adapter: String,
    val version: Long?,
    val evict: String?,
)
