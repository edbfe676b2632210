package anvilslip.state

/** Role of a replica in the current term. */
public enum class ReplicaRole {
    FOLLOWER,
    CANDIDATE,
    LEADER,
}
