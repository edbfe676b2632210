package anvilslip.policy

import kotlin.time.Duration

/** A request for a server that has [adapter] loaded. */
public data class PlacementRequest(
    val id: Long,
    val instance: String,
    val workspace: String,
    val model: String,
    val adapter: AdapterVersion,
    /** Monotonic time by which the request must be placed. */
    val deadline: Duration,
    /** Maximum number of tokens that the request may use; counted for fairness between workspaces. */
    val tokens: Double,
    /** Preferred availability zone. */
    val zone: String? = null,
    /** Servers on which the request has already failed. */
    val exclude: Set<String> = emptySet(),
    /** Fingerprint of the request if a server has crashed before while running it; null otherwise. */
    val suspect: String? = null,
)
