package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A command for the [ReplicatedState]. */
@Serializable
public sealed interface Command {
    /** Changes the configuration if it is still at [expectedRevision], or at any when null. */
    @Serializable
    @SerialName("configure")
    public data class Configure(
        val change: Change,
        val requestId: String,
        val expectedRevision: Long? = null,
    ) : Command

    /** Claims a non-idempotent request before it is sent; [lifetimeMillis] bounds how long it may run. */
    @Serializable
    @SerialName("take_claim")
    public data class TakeClaim(
        val key: ClaimKey,
        val digest: String,
        val holder: String,
        val lifetimeMillis: Long,
    ) : Command

    /** Stores the answer of a claimed request. */
    @Serializable
    @SerialName("finish_claim")
    public data class FinishClaim(
        val key: ClaimKey,
        val holder: String,
        val answer: StoredAnswer,
    ) : Command

    /** Gives up a claim whose request was not sent. */
    @Serializable
    @SerialName("release_claim")
    public data class ReleaseClaim(
        val key: ClaimKey,
        val holder: String,
    ) : Command

    /** Records the bounds within which the leader hands out tokens. */
    @Serializable
    @SerialName("checkpoint")
    public data class Checkpoint(
        val buckets: Map<String, BucketCheckpoint>,
    ) : Command

    /** Records requests that were running on a server when it crashed. */
    @Serializable
    @SerialName("blame")
    public data class RecordCrash(
        val crash: String,
        val requests: List<InterruptedRequest>,
    ) : Command

    /** The server was found not to have crashed after all. */
    @Serializable
    @SerialName("acquit")
    public data class RetractCrash(
        val crash: String,
    ) : Command

    /** Lets a quarantined request run again. */
    @Serializable
    @SerialName("pardon")
    public data class Pardon(
        val fingerprint: String,
    ) : Command

    /** Puts [document] in force if its version is higher than the one in force. */
    @Serializable
    @SerialName("replace_document")
    public data class ReplaceDocument(
        val document: ConfigurationDocument,
    ) : Command

    /** Names [version] of [adapter] of [model] as the newest, unless a higher one is named. */
    @Serializable
    @SerialName("name_version")
    public data class NameVersion(
        val model: String,
        val adapter: String,
        val version: Long,
    ) : Command

    /** Changes nothing; its outcome proves that the state it is applied to is the newest. */
    @Serializable
    @SerialName("confirm")
    public data object ReadBarrier : Command
}
