package anvilslip.policy

/** A service that backend servers run. */
public data class BackendService(
    val name: String,
    /** Connections that one server accepts from all instances. */
    val maxConnections: Int,
    /** Null for a plain service. */
    val engine: EngineProfile? = null,
)
