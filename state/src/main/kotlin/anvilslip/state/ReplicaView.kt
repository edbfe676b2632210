package anvilslip.state

import kotlin.time.Duration

/** What the rest of a process sees of its replica. */
public data class ReplicaView(
    val id: ReplicaId,
    val role: ReplicaRole = ReplicaRole.FOLLOWER,
    val leader: ReplicaId? = null,
    val term: Long = 0,
    val commitIndex: Long = 0,
    val lastIndex: Long = 0,
    val voters: Set<ReplicaId> = emptySet(),
    val state: ReplicatedState = ReplicatedState(),
    /** Monotonic time until which this replica leads and no other can be elected; null when it does not lead. */
    val leaseUntil: Duration? = null,
    /** Replicas that have acknowledged this leader in its term; empty when it does not lead. */
    val followers: Set<ReplicaId> = emptySet(),
)
