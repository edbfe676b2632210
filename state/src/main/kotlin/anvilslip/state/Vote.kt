package anvilslip.state

import kotlinx.serialization.Serializable

/**
 * The current term and the candidate that this replica voted for in that term, if any. Must be synced before any message that
 * depends on it is sent.
 */
@Serializable
public data class Vote(
    val term: Long = 0,
    val candidate: ReplicaId? = null,
)
