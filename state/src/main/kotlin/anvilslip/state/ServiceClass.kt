package anvilslip.state

import kotlinx.serialization.Serializable

/**
 * A class of requests with a common latency target.
 *
 * @property waitTargetMillis longest time that a request should wait for the first byte of its response
 */
@Serializable
public data class ServiceClass(
    val name: String,
    val waitTargetMillis: Long,
)
