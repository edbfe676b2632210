package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A command that is replicated through the log and applied to the [ReplicatedState] of every replica. */
@Serializable
public sealed interface Command {
    /** Approximate size in bytes of the content that came from outside; 0 if the size of the command is small and fixed. */
    public val contentBytes: Int get() = 0

    /** Changes the configuration, provided that its revision is [expectedRevision]; null accepts any revision. */
    @Serializable
    @SerialName("configure")
    public data class Configure(
        val change: Change,
        val requestId: String,
        val expectedRevision: Long? = null,
    ) : Command {
        override val contentBytes: Int get() = change.contentBytes
    }

    /** Claims a non-idempotent request before it is sent; the request may run for at most [lifetimeMillis]. */
    @Serializable
    @SerialName("take_claim")
    public data class TakeClaim(
        val key: ClaimKey,
        val digest: String,
        val holder: String,
        val lifetimeMillis: Long,
    ) : Command

    /** Stores the answer to a claimed request. */
    @Serializable
    @SerialName("finish_claim")
    public data class FinishClaim(
        val key: ClaimKey,
        val holder: String,
        val answer: StoredAnswer,
    ) : Command {
        override val contentBytes: Int get() = answer.body?.length ?: 0
    }

    /** Releases the claim on a request that was not sent. */
    @Serializable
    @SerialName("release_claim")
    public data class ReleaseClaim(
        val key: ClaimKey,
        val holder: String,
    ) : Command

    /** Records the bounds within which the leader grants tokens, by workspace. */
    @Serializable
    @SerialName("checkpoint")
    public data class Checkpoint(
        val buckets: Map<String, BucketCheckpoint>,
    ) : Command

    /** Records that a server crashed while it ran [requests]; [crash] identifies the server and its incarnation. */
    @Serializable
    @SerialName("blame")
    public data class RecordCrash(
        val crash: String,
        val requests: List<InterruptedRequest>,
    ) : Command

    /** Retracts a [RecordCrash], because the server turned out to be running. */
    @Serializable
    @SerialName("acquit")
    public data class RetractCrash(
        val crash: String,
    ) : Command

    /** Lifts the quarantine of a request. */
    @Serializable
    @SerialName("pardon")
    public data class Pardon(
        val fingerprint: String,
    ) : Command

    /** Makes [document] the current configuration document if its version is higher than that of the current one. */
    @Serializable
    @SerialName("replace_document")
    public data class ReplaceDocument(
        val document: ConfigurationDocument,
    ) : Command {
        override val contentBytes: Int get() = document.text.length
    }

    /** Records [version] as the newest one of [adapter], unless a higher version is recorded already. */
    @Serializable
    @SerialName("name_version")
    public data class NameVersion(
        val model: String,
        val adapter: String,
        val version: Long,
    ) : Command

    /**
     * Records the requests that must not be sent to servers any more, and those that may again.
     *
     * @property added incarnations of the servers that crashed, by the key of the requests under which they did
     */
    @Serializable
    @SerialName("update_quarantines")
    public data class UpdateQuarantines(
        val added: Map<String, Set<String>>,
        val removed: Set<String>,
    ) : Command

    /**
     * Starts the evacuation of the availability zone [zone], or ends it. Does nothing if the zone is in that state already.
     *
     * @property expectedRevision [ReplicatedState.evacuationRevision] that the sender knew when the operator called. A command that
     *   another change has overtaken since is not applied, since it may be a late copy of a call that was repeated elsewhere.
     */
    @Serializable
    @SerialName("set_evacuation")
    public data class SetEvacuation(
        val zone: String,
        val isActive: Boolean,
        val expectedRevision: Long? = null,
    ) : Command

    /** Changes nothing. Once it is applied, the local state includes every command that was committed before it was proposed. */
    @Serializable
    @SerialName("confirm")
    public data object ReadBarrier : Command
}
