package anvilslip.policy

/** A service that is provided by backend servers. */
public data class BackendService(
    val name: String,
    /** Maximum number of connections that one server accepts from all instances together. */
    val maxConnections: Int,
    /** Null for a plain service. */
    val engine: EngineProfile? = null,
)
