package anvilslip.policy

/** A complete configuration: what is served, by which services and for whom. */
public data class ServingConfiguration(
    val version: Long,
    val routes: List<ServingRoute> = emptyList(),
    val services: Map<String, BackendService> = emptyMap(),
    val workspaces: List<ServingWorkspace> = emptyList(),
    val limits: ClientLimits = ClientLimits(),
) {
    private val routesByHost = routes.groupBy { it.host }.mapValues { (_, all) -> all.sortedByDescending { it.pathPrefix.length } }
    private val workspacesByKey = workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()

    /** True when requests must show a key, except on public routes. */
    public val requiresKeys: Boolean get() = workspaces.isNotEmpty()

    /** The route of [host] with the longest prefix of [path]. */
    public fun route(
        host: String,
        path: String,
    ): ServingRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The workspace that holds [key]. */
    public fun workspaceOf(key: String): ServingWorkspace? = workspacesByKey[key]
}
