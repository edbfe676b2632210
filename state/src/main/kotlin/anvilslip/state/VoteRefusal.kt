package anvilslip.state

/** Why a replica refuses its vote. */
public enum class VoteRefusal {
    /** The replica has no log yet. */
    UNINITIALIZED,

    /** A leader may still hold its lease, since it was heard, or the replica was started, less than an election timeout ago. */
    LEADER_MAY_BE_ALIVE,

    /** The log of the candidate is behind. */
    LOG_BEHIND,

    /** The replica has seen the term of the candidate, or a later one. */
    OLD_TERM,

    /** The replica has voted for another candidate of the term. */
    HAS_VOTED,

    /** The replica has just granted a pre-vote to a candidate that it prefers. */
    PREFERS_OTHER,
}
