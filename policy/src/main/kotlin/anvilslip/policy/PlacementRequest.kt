package anvilslip.policy

import kotlin.time.Duration

/** A request that needs a server with [adapter]. */
public data class PlacementRequest(
    val id: Long,
    val instance: String,
    val workspace: String,
    val model: String,
    val adapter: AdapterVersion,
    /** Monotonic time by which the request must have a server. */
    val deadline: Duration,
    /** Tokens the request may use, for fairness between workspaces. */
    val tokens: Double,
    /** Zone to prefer. */
    val zone: String? = null,
    /** Servers that already failed the request. */
    val exclude: Set<String> = emptySet(),
    /** Fingerprint when a server has crashed under this request before. */
    val suspect: String? = null,
)
