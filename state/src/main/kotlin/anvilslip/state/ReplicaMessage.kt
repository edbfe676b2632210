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

    /** Approximate size in bytes of the entries or the state that the message carries. */
    public val contentBytes: Int get() = 0

    /**
     * Asks for a vote. With [preVote], only asks whether the vote would be granted, so that a partitioned replica does not
     * increase the term.
     */
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

    /** Reply to a [VoteRequest]. */
    @Serializable
    @SerialName("vote_reply")
    public data class VoteReply(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val granted: Boolean,
        @SerialName("probe")
        @CborLabel(3)
        val preVote: Boolean,
    ) : ReplicaMessage

    /**
     * Carries the entries after [previousIndex], or none as a heartbeat.
     *
     * @property round number of the leader's confirmation round; the reply repeats it to renew the leader's lease
     */
    @Serializable
    @SerialName("append")
    public data class Append(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val previousIndex: Long,
        @CborLabel(3) val previousTerm: Long,
        @CborLabel(4) val entries: List<LogEntry>,
        @CborLabel(5) val commit: Long,
        @CborLabel(6) val round: Long,
    ) : ReplicaMessage {
        override val contentBytes: Int get() = entries.sumOf { it.sizeBytes }
    }

    /**
     * Reply to an [Append] or [InstallSnapshot].
     *
     * @property matchIndex if accepted, the last index that matches the leader's log and is synced; otherwise the index after
     *   which the leader should try next
     */
    @Serializable
    @SerialName("append_reply")
    public data class AppendReply(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val accepted: Boolean,
        @CborLabel(3) val matchIndex: Long,
        @CborLabel(4) val round: Long,
    ) : ReplicaMessage

    /** Carries a snapshot for a replica that needs entries that the leader has compacted away. */
    @Serializable
    @SerialName("install")
    public data class InstallSnapshot(
        @CborLabel(1) override val term: Long,
        @CborLabel(2) val snapshot: Snapshot,
        @CborLabel(3) val round: Long,
    ) : ReplicaMessage {
        override val contentBytes: Int get() = snapshot.state.contentBytes
    }

    /** Asks the leader to add the sender to the voters. */
    @Serializable
    @SerialName("join")
    public data class Join(
        override val term: Long = 0,
    ) : ReplicaMessage

    /** Sent by a replica without state to find out whether the others have any. */
    @Serializable
    @SerialName("census")
    public data class BootstrapQuery(
        override val term: Long = 0,
    ) : ReplicaMessage

    /**
     * Reply to a [BootstrapQuery], or to a [Join] that reached a replica which is not the leader.
     *
     * @property leader leader that the sender follows, which the receiver may ask to join; null if it is not known
     */
    @Serializable
    @SerialName("census_reply")
    public data class BootstrapQueryReply(
        @SerialName("blank")
        val uninitialized: Boolean,
        override val term: Long = 0,
        val leader: ReplicaId? = null,
    ) : ReplicaMessage

    /** Starts a new log with [initialVoters], sent after all members have replied that they have no state. */
    @Serializable
    @SerialName("found")
    public data class StartLog(
        @SerialName("founders")
        val initialVoters: Set<ReplicaId>,
        override val term: Long = 0,
    ) : ReplicaMessage
}
