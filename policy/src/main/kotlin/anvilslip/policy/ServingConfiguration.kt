package anvilslip.policy

/** A complete serving configuration: routes, services, workspaces and client limits. */
public data class ServingConfiguration(
    val version: Long,
    val routes: List<ServingRoute> = emptyList(),
    val services: Map<String, BackendService> = emptyMap(),
    val workspaces: List<ServingWorkspace> = emptyList(),
    val limits: ClientLimits = ClientLimits(),
) {
    private val routesByHost = routes.groupBy { it.host }.mapValues { (_, all) -> all.sortedByDescending { it.pathPrefix.length } }
    private val workspacesByKey = workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()

    /** True if requests need an API key, except on public routes. */
    public val needsKeys: Boolean get() = workspaces.isNotEmpty()

    /** The route of [host] with the longest path prefix that matches [path], or null if none matches. */
    public fun route(
        host: String,
        path: String,
    ): ServingRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The workspace to which the API key [key] belongs, or null if the key is unknown. */
    public fun workspaceOf(key: String): ServingWorkspace? = workspacesByKey[key]
}
