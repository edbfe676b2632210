@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A message between replicas. */
@Serializable
public sealed interface ReplicaMessage {
    /** Term of the sender. */
    public val term: Long

    /** Asks for a vote; with [preVote] only whether one would be given, so that a cut-off replica does not raise the term. */
    @Serializable
    @SerialName("vote_request")
    public data class VoteRequest(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val lastIndex: Long,
        @CborLabel(3) val lastTerm: Long,
        @SerialName("probe")
        @CborLabel(4)
        val preVote: Boolean,
    ) : ReplicaMessage

    /** Answers a [VoteRequest]. */
    @Serializable
    @SerialName("vote_reply")
    public data class VoteReply(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val granted: Boolean,
        @SerialName("probe")
        @CborLabel(3)
        val preVote: Boolean,
    ) : ReplicaMessage

    /** Entries after [previousIndex], or none as a heartbeat; [round] numbers the leader's confirmation rounds. */
    @Serializable
    @SerialName("append")
    public data class Append(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val previousIndex: Long,
        @CborLabel(3) val previousTerm: Long,
        @CborLabel(4) val entries: List<LogEntry>,
        @CborLabel(5) val commit: Long,
        @CborLabel(6) val round: Long,
    ) : ReplicaMessage

    /** Answers an [Append] or [InstallSnapshot]: the last index known to match and synced, or where to try next. */
    @Serializable
    @SerialName("append_reply")
    public data class AppendReply(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val accepted: Boolean,
        @CborLabel(3) val matchIndex: Long,
        @CborLabel(4) val round: Long,
    ) : ReplicaMessage

    /** A snapshot for a replica that is behind the leader's log. */
    @Serializable
    @SerialName("install")
    public data class InstallSnapshot(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val snapshot: Snapshot,
        @CborLabel(3) val round: Long,
    ) : ReplicaMessage

    /** A replica without state asks the leader to take it in. */
    @Serializable
    @SerialName("join")
    public data class Join(
        override val term: Long = 0,
    ) : ReplicaMessage

    /** A replica without state asks whether others have any. */
    @Serializable
    @SerialName("census")
    public data class BootstrapQuery(
        override val term: Long = 0,
    ) : ReplicaMessage

    /** Answers a [BootstrapQuery]. */
    @Serializable
    @SerialName("census_reply")
    public data class BootstrapQueryReply(
        @SerialName("blank")
        val uninitialized: Boolean,
        override val term: Long = 0,
    ) : ReplicaMessage

    /** All replicas were found to be without state; these start a new log. */
    @Serializable
    @SerialName("found")
    public data class StartLog(
        @SerialName("founders")
        val initialVoters: Set<ReplicaId>,
        override val term: Long = 0,
    ) : ReplicaMessage
}
