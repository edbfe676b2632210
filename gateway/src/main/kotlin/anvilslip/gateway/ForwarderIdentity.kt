package anvilslip.gateway

/** Host and zone of the instance on which a [Forwarder] runs. */
public data class ForwarderIdentity(
    val host: String,
    val zone: String,
)
