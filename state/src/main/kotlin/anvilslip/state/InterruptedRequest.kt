package anvilslip.state

import kotlinx.serialization.Serializable

/** A request that was running on a backend server when the server crashed. */
@Serializable
public data class InterruptedRequest(
    val fingerprint: String,
    val workspace: String,
    val adapter: String,
)
