package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Result of applying a [Command] to the [ReplicatedState]. */
@Serializable
public sealed interface Outcome {
    /** The change was accepted and led to [revision]. */
    @Serializable
    @SerialName("configured")
    public data class Configured(
        val revision: Long,
    ) : Outcome

    /** The changed part of the state is at [revision] and not at the expected one, so the change was not applied. */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(
        val revision: Long,
    ) : Outcome

    /** The change is invalid; [problems] lists every reason. */
    @Serializable
    @SerialName("rejected")
    public data class Rejected(
        val problems: List<String>,
    ) : Outcome

    /** The claim was taken; the request may be sent once. */
    @Serializable
    @SerialName("claim_taken")
    public data object ClaimTaken : Outcome

    /** Another sender holds the claim; its request may run for another [remainingMillis]. */
    @Serializable
    @SerialName("claim_running")
    public data class ClaimRunning(
        val remainingMillis: Long,
    ) : Outcome

    /** The request was answered before; [answer] is the stored answer. */
    @Serializable
    @SerialName("claim_answered")
    public data class ClaimAnswered(
        val answer: StoredAnswer,
    ) : Outcome

    /** The deadline passed without an answer: the request may have run, and must not be sent again. */
    @Serializable
    @SerialName("claim_unknown")
    public data object ClaimUnknown : Outcome

    /** The idempotency key belongs to a different request, or the claim is not held by the sender of the command. */
    @Serializable
    @SerialName("claim_mismatch")
    public data object ClaimMismatch : Outcome

    /** The command was applied. */
    @Serializable
    @SerialName("done")
    public data object Done : Outcome

    /** The document is in force now. */
    @Serializable
    @SerialName("document_in_force")
    public data class DocumentInForce(
        val version: Long,
    ) : Outcome

    /** The document was ignored, because the one in force has version [inForce], which is the same or higher. */
    @Serializable
    @SerialName("document_superseded")
    public data class DocumentSuperseded(
        val inForce: Long,
    ) : Outcome
}
