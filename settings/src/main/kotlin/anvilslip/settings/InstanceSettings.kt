package anvilslip.settings

/** An instance of the deployment. Instances with [replica] set store the replicated state and need a data folder. */
public data class InstanceSettings(
    val name: String,
    val zone: String,
    val peers: Address,
    val replica: Boolean = false,
)
