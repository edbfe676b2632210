package anvilslip.policy

import kotlin.time.Duration

/** A service that is provided by backend servers. */
public data class BackendService(
    val name: String,
    /** Maximum number of connections that one server accepts from all instances together. */
    val maxConnections: Int,
    /** Null for a plain service. */
    val engine: EngineProfile? = null,
    /** How long a server is cold after it starts. */
    val coldStart: Duration = Duration.ZERO,
    /** Requests per second that a cold server tolerates; 0 if its servers are never cold. */
    val coldRequestsPerSecond: Double = 0.0,
)
