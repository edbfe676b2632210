package anvilslip.state

import kotlinx.serialization.Serializable

/**
 * An adapter of a base model.
 *
 * @property current the version used for requests that do not specify one
 * @property workspace the only workspace that may use the adapter, or null if all may use it
 */
@Serializable
public data class Adapter(
    val name: String,
    val model: String,
    val versions: Set<String>,
    val current: String,
    val workspace: String? = null,
)
