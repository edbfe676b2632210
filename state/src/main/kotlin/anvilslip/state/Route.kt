package anvilslip.state

import kotlinx.serialization.Serializable

/**
 * Routes requests to an application service.
 *
 * @property path path prefix of the requests
 * @property idempotent true if requests may be sent more than once
 * @property open true if requests need no workspace key
 * @property tokens tokens that a request costs its workspace
 */
@Serializable
public data class Route(
    val path: String,
    val service: String,
    val idempotent: Boolean = false,
    val open: Boolean = false,
    val tokens: Long = 1,
) {
    /** Returns true if [requested] is this path or below it. */
    public fun matches(requested: String): Boolean = requested == path || requested.startsWith(path.trimEnd('/') + "/")
}
