package anvilslip.gateway

/** What a [Forwarder] tells of the instance it runs on. */
public data class ForwarderIdentity(
    val host: String,
    val zone: String,
)
