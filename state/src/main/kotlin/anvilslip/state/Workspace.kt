package anvilslip.state

import kotlinx.serialization.Serializable

/** A customer (tenant). Its token rate and burst apply to all instances together. */
@Serializable
public data class Workspace(
    val name: String,
    val tokensPerSecond: Double,
    val burstTokens: Long,
)
