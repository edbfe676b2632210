package anvilslip.state

import kotlinx.serialization.Serializable

/** A request that was running on a server when it crashed. */
@Serializable
public data class InterruptedRequest(
    val fingerprint: String,
    val workspace: String,
    val adapter: String,
)
