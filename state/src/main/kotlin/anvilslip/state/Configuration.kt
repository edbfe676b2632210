package anvilslip.state

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/** What operators have stated. [revision] grows by one with each accepted change. */
@Serializable
public data class Configuration(
    val revision: Long = 0,
    val workspaces: SerializablePersistentMap<String, Workspace> = persistentMapOf(),
    val keys: SerializablePersistentMap<String, WorkspaceKey> = persistentMapOf(),
    val adapters: SerializablePersistentMap<String, Adapter> = persistentMapOf(),
    val classes: SerializablePersistentMap<String, ServiceClass> = persistentMapOf(),
    val routes: SerializablePersistentMap<String, Route> = persistentMapOf(),
    val draining: SerializablePersistentMap<String, Boolean> = persistentMapOf(),
) {
    /** The key with this SHA-256 hash in hexadecimal, unless it is unknown or withdrawn. */
    public fun key(hash: String): WorkspaceKey? = keys[hash]

    /** The route with the longest path prefix of [path]. */
    public fun route(path: String): Route? = routes.values.filter { it.matches(path) }.maxByOrNull { it.path.length }
}
