package anvilslip.state

/** Something that happened in an election at one replica. */
public sealed interface ElectionEvent {
    /** Term of the election. */
    public val term: Long

    /** The replica has asked the voters whether they would vote for it. */
    public data class PreVoteStarted(
        override val term: Long,
    ) : ElectionEvent

    /** The replica has asked the voters for their votes. */
    public data class ElectionStarted(
        override val term: Long,
    ) : ElectionEvent

    /** The replica has refused its vote, or its pre-vote, to [candidate]. */
    public data class VoteRefused(
        val candidate: ReplicaId,
        override val term: Long,
        val preVote: Boolean,
        val reason: VoteRefusal,
    ) : ElectionEvent
}
