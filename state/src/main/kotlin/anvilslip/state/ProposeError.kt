package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reason why [Replica.propose] returned no [Outcome]. */
@Serializable
public sealed interface ProposeError {
    /** The command was not appended and will not take effect. [leader] is the instance to send it to, if known. */
    @Serializable
    @SerialName("not_leader")
    public data class NotLeader(
        val leader: String?,
    ) : ProposeError

    /** The command may or may not take effect: it timed out or the storage failed before it was applied. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : ProposeError
}
