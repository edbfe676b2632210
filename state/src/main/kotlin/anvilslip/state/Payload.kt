package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Content of a [LogEntry]. */
@Serializable
public sealed interface Payload {
    /** Approximate size in bytes of the content that came from outside. */
    public val contentBytes: Int get() = 0

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
    ) : Payload {
        override val contentBytes: Int get() = command.contentBytes
    }

    /** Changes the set of voters. Takes effect when the entry is appended to the log, before it is committed. */
    @Serializable
    @SerialName("membership")
    public data class Membership(
        val voters: Set<ReplicaId>,
    ) : Payload
}
