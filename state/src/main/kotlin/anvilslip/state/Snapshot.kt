package anvilslip.state

import kotlinx.serialization.Serializable

/** The replicated state and the voters after all entries up to and including [index]; [term] is the term of that entry. */
@Serializable
public data class Snapshot(
    val index: Long,
    val term: Long,
    val voters: Set<ReplicaId>,
    val state: ReplicatedState,
)
