package anvilslip.state

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/**
 * The configuration that operators maintain through [Change]s.
 *
 * @property revision number of accepted changes
 * @property keys workspace keys by the SHA-256 hash of their secret
 * @property draining names of the instances that are being drained
 */
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
    /** Returns the key with this hexadecimal SHA-256 hash, or null if there is none. */
    public fun key(hash: String): WorkspaceKey? = keys[hash]

    /** Returns the route whose path is the longest prefix of [path], or null if no route matches. */
    public fun route(path: String): Route? = routes.values.filter { it.matches(path) }.maxByOrNull { it.path.length }
}
