package anvilslip.entry.operator

import anvilslip.state.Adapter
import anvilslip.state.Route
import anvilslip.state.ServiceClass
import anvilslip.state.Workspace
import kotlinx.serialization.Serializable

/** The configuration as returned to operators. */
@Serializable
public data class OperatorConfiguration(
    val revision: Long,
    val workspaces: List<Workspace>,
    val keys: List<Key>,
    val adapters: List<Adapter>,
    val classes: List<ServiceClass>,
    val routes: List<Route>,
    val draining: List<String>,
) {
    /** An API key without its hash. */
    @Serializable
    public data class Key(
        val id: String,
        val workspace: String,
    )
}
