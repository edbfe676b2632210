package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Approximate size of an adapter with a few versions. */
private const val ADAPTER_BYTES = 256

/** A change of the [Configuration]. */
@Serializable
public sealed interface Change {
    /** Approximate size in bytes of the lists in the change; 0 if it has none. */
    public val contentBytes: Int get() = 0

    /** Creates or replaces a workspace. */
    @Serializable
    @SerialName("put_workspace")
    public data class PutWorkspace(
        val workspace: Workspace,
    ) : Change

    /** Removes a workspace together with its keys and the adapters that only it may use. */
    @Serializable
    @SerialName("remove_workspace")
    public data class RemoveWorkspace(
        val name: String,
    ) : Change

    /** Adds a key to an existing workspace. */
    @Serializable
    @SerialName("issue_key")
    public data class IssueKey(
        val key: WorkspaceKey,
    ) : Change

    /** Revokes the key with this ID. */
    @Serializable
    @SerialName("withdraw_key")
    public data class WithdrawKey(
        val id: String,
    ) : Change

    /** Creates or replaces adapters. */
    @Serializable
    @SerialName("put_adapters")
    public data class PutAdapters(
        val adapters: List<Adapter>,
    ) : Change {
        override val contentBytes: Int get() = adapters.size * ADAPTER_BYTES
    }

    /** Removes an adapter. */
    @Serializable
    @SerialName("remove_adapter")
    public data class RemoveAdapter(
        val name: String,
    ) : Change

    /** Creates or replaces a service class. */
    @Serializable
    @SerialName("put_class")
    public data class PutClass(
        val serviceClass: ServiceClass,
    ) : Change

    /** Creates or replaces a route. */
    @Serializable
    @SerialName("put_route")
    public data class PutRoute(
        val route: Route,
    ) : Change

    /** Removes the route with this path. */
    @Serializable
    @SerialName("remove_route")
    public data class RemoveRoute(
        val path: String,
    ) : Change

    /** Starts or stops draining an instance; a draining instance accepts no new requests. */
    @Serializable
    @SerialName("set_draining")
    public data class SetDraining(
        val instance: String,
        val draining: Boolean,
    ) : Change
}
