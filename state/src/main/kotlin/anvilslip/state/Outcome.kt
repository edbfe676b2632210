package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What became of a [Command]. */
@Serializable
public sealed interface Outcome {
    /** The change is accepted as [revision]. */
    @Serializable
    @SerialName("configured")
    public data class Configured(
        val revision: Long,
    ) : Outcome

    /** Another change came first; the configuration is at [revision]. */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(
        val revision: Long,
    ) : Outcome

    /** The change is invalid for all these reasons. */
    @Serializable
    @SerialName("rejected")
    public data class Rejected(
        val problems: List<String>,
    ) : Outcome

    /** The request is claimed and may be sent once. */
    @Serializable
    @SerialName("claim_taken")
    public data object ClaimTaken : Outcome

    /** The request is running for an earlier sender. */
    @Serializable
    @SerialName("claim_running")
    public data class ClaimRunning(
        val remainingMillis: Long,
    ) : Outcome

    /** The request has run. */
    @Serializable
    @SerialName("claim_answered")
    public data class ClaimAnswered(
        val answer: StoredAnswer,
    ) : Outcome

    /** The request may have run; its answer will never be known. */
    @Serializable
    @SerialName("claim_unknown")
    public data object ClaimUnknown : Outcome

    /** The idempotency key was used for another request. */
    @Serializable
    @SerialName("claim_mismatch")
    public data object ClaimMismatch : Outcome

    /** The command took effect. */
    @Serializable
    @SerialName("done")
    public data object Done : Outcome

    /** The document is in force. */
    @Serializable
    @SerialName("document_in_force")
    public data class DocumentInForce(
        val version: Long,
    ) : Outcome

    /** A document with the same or a higher version, [inForce], came first; nothing changed. */
    @Serializable
    @SerialName("document_superseded")
    public data class DocumentSuperseded(
        val inForce: Long,
    ) : Outcome
}
