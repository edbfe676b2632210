package anvilslip.state

import kotlinx.serialization.Serializable

/** An API key of a workspace. Only the hexadecimal SHA-256 [hash] of the secret is stored. */
@Serializable
public data class WorkspaceKey(
    val id: String,
    val workspace: String,
    val hash: String,
)
