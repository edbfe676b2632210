package anvilslip.state

import kotlin.time.Duration

/** A snapshot of the status of a [Replica] for other components of the process. */
public data class ReplicaView(
    val id: ReplicaId,
    val role: ReplicaRole = ReplicaRole.FOLLOWER,
    val leader: ReplicaId? = null,
    val term: Long = 0,
    val commitIndex: Long = 0,
    val lastIndex: Long = 0,
    val voters: Set<ReplicaId> = emptySet(),
    val state: ReplicatedState = ReplicatedState(),
    /** Monotonic time until which no other replica can be elected; null if this replica is not the leader. */
    val leaseUntil: Duration? = null,
    /** Replicas that have acknowledged entries of this leader in its term; empty if this replica is not the leader. */
    val followers: Set<ReplicaId> = emptySet(),
) {
    /** True if this replica is the leader and its lease has not expired at monotonic time [now]. */
    public fun isLeading(now: Duration): Boolean = leaseUntil?.let { now < it } ?: false
}
