package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Content of a [LogEntry]. */
@Serializable
public sealed interface Payload {
    /** The first entry of a leader's term. Once it is committed, all entries of earlier terms are committed too. */
    @Serializable
    @SerialName("noop")
    public data object Noop : Payload

    /** A command and the leader's wall-clock time at which it was proposed, in milliseconds since the epoch. */
    @Serializable
    @SerialName("apply")
    public data class Apply(
        val command: Command,
        val atMillis: Long,
    ) : Payload

    /** Changes the set of voters. Takes effect when the entry is appended to the log, before it is committed. */
    @Serializable
    @SerialName("membership")
    public data class Membership(
        val voters: Set<ReplicaId>,
    ) : Payload
}
