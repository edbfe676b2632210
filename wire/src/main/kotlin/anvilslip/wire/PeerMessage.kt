@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.wire

import anvilslip.kernel.Event
import anvilslip.kernel.Stamp
import anvilslip.policy.AdapterUse
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRequest
import anvilslip.policy.EntryInstance
import anvilslip.policy.FleetView
import anvilslip.policy.Grant
import anvilslip.policy.InstanceView
import anvilslip.policy.PlacementDecision
import anvilslip.policy.ReportVersion
import anvilslip.policy.RequestEvent
import anvilslip.policy.RunningRequest
import anvilslip.policy.ServerReport
import anvilslip.policy.StreamOrigin
import anvilslip.policy.StreamRecord
import anvilslip.policy.SuspectReport
import anvilslip.policy.Usage
import anvilslip.state.AdapterName
import anvilslip.state.Change
import anvilslip.state.Command
import anvilslip.state.Configuration
import anvilslip.state.ConfigurationDocument
import anvilslip.state.Outcome
import anvilslip.state.ProposeError
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaMessage
import anvilslip.state.Suspect
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A message between instances. */
@Serializable
public sealed interface PeerMessage {
    /** Approximate size in bytes of the entries, documents or commands that the message carries. */
    public val contentBytes: Int get() = 0

    /**
     * True if builds that close the connection on unknown messages do not know this one. It is then neither sent nor answered to them, and
     * the caller gets [PeerError.Unsupported]. To be overridden by each kind of message that is added.
     */
    public val isUnknownToOldBuilds: Boolean get() = false

    /** A message of the replication protocol. Not answered. */
    @Serializable
    @SerialName("replica")
    public data class Replica(
        @CborLabel(1) val from: ReplicaId,
        @CborLabel(2) val to: ReplicaId,
        @CborLabel(3) val message: ReplicaMessage,
    ) : PeerMessage {
        override val contentBytes: Int get() = message.contentBytes
    }

    /** Periodic report of an instance to the leader, sent several times a second. */
    @Serializable
    @SerialName("poll")
    public data class Poll(
        @CborLabel(1) val instance: InstanceView,
        @CborLabel(2) val incarnation: String,
        @CborLabel(3) val revision: Long,
        @CborLabel(4) val viewTerm: Long,
        @CborLabel(5) val viewVersion: Long,
        @CborLabel(6) val suspectsVersion: Long,
        @CborLabel(7) val uses: List<AdapterUse> = emptyList(),
        @CborLabel(8) val usage: Map<String, Usage> = emptyMap(),
        /** Mean time in milliseconds that servers took per request since the last poll; 0 without requests. */
        @CborLabel(9) val serviceMillis: Long = 0,
    ) : PeerMessage

    /**
     * Answers [Poll] with the updates that the instance is missing.
     *
     * @property snapshot the whole configuration, if the single [changes] are not available
     * @property view the fleet view; null if unchanged
     * @property suspects the suspect requests; null if unchanged
     */
    @Serializable
    @SerialName("poll_reply")
    public data class PollReply(
        @CborLabel(1) val term: Long,
        @CborLabel(2) val revision: Long,
        @CborLabel(3) val changes: List<Change> = emptyList(),
        @CborLabel(4) val snapshot: Configuration? = null,
        @CborLabel(5) val view: FleetView? = null,
        /** Requests in flight from all instances, by server. */
        @CborLabel(6) val inFlight: Map<String, Int> = emptyMap(),
        @CborLabel(7) val suspects: List<Suspect>? = null,
        @CborLabel(8) val suspectsVersion: Long = 0,
    ) : PeerMessage

    /** The receiver is not the leader. [leader] names the instance that it believes to be. */
    @Serializable
    @SerialName("not_leader")
    public data class NotLeader(
        val leader: String?,
    ) : PeerMessage

    /** Forwards the announcement of a backend server to the leader. */
    @Serializable
    @SerialName("announced")
    public data class Announced(
        @CborLabel(1) val announcement: Announcement,
    ) : PeerMessage

    /** Checks that the peer is alive. Answered with [Ack]. */
    @Serializable
    @SerialName("ping")
    public data object Ping : PeerMessage

    /** Acknowledges a message that has no specific answer. */
    @Serializable
    @SerialName("ack")
    public data object Ack : PeerMessage

    /**
     * Asks the leader to place a request on a server. The request can wait up to [waitMillis].
     *
     * @property exclude servers that must not be chosen
     * @property suspect fingerprint of the request if it is suspected of crashing servers
     */
    @Serializable
    @SerialName("place")
    public data class Place(
        @CborLabel(1) val instance: String,
        @CborLabel(2) val workspace: String,
        @CborLabel(3) val model: String,
        @CborLabel(4) val adapter: AdapterVersion,
        @CborLabel(5) val waitMillis: Long,
        @CborLabel(6) val tokens: Double,
        @CborLabel(7) val zone: String?,
        @CborLabel(8) val exclude: Set<String> = emptySet(),
        @CborLabel(9) val suspect: String? = null,
    ) : PeerMessage

    /** Answers [Place]. */
    @Serializable
    @SerialName("place_reply")
    public data class PlaceReply(
        @CborLabel(1) val term: Long,
        @CborLabel(2) val decision: PlacementDecision,
    ) : PeerMessage

    /** Reports to the leader that [server] does not hold [adapter], although it was expected to. */
    @Serializable
    @SerialName("not_loaded")
    public data class NotLoaded(
        val server: String,
        val adapter: AdapterVersion,
    ) : PeerMessage

    /**
     * Asks the leader for tokens of a workspace.
     *
     * @property incarnation the incarnation of the asking instance, not its name: a restarted instance has lost its tokens
     * @property needed tokens without which the grant is useless
     * @property wanted tokens to grant if available
     */
    @Serializable
    @SerialName("grant_request")
    public data class GrantRequest(
        @CborLabel(1) @SerialName("instance") val incarnation: String,
        @CborLabel(2) val workspace: String,
        @CborLabel(3) val needed: Double,
        @CborLabel(4) val wanted: Double,
        @CborLabel(5) val usage: Usage,
    ) : PeerMessage

    /** Answers [GrantRequest]. */
    @Serializable
    @SerialName("grant_reply")
    public data class GrantReply(
        @CborLabel(1) val grant: Grant,
    ) : PeerMessage

    /** Asks the leader to replicate a command. */
    @Serializable
    @SerialName("propose")
    public data class Propose(
        @CborLabel(1) val command: Command,
    ) : PeerMessage {
        override val contentBytes: Int get() = command.contentBytes
    }

    /** Answers [Propose] with either [outcome] or [error]. */
    @Serializable
    @SerialName("propose_reply")
    public data class ProposeReply(
        @CborLabel(1) val outcome: Outcome? = null,
        @CborLabel(2) val error: ProposeError? = null,
    ) : PeerMessage

    /** Asks an instance for up to [limit] of its timeline events after [since]. */
    @Serializable
    @SerialName("timeline_request")
    public data class TimelineRequest(
        val since: Stamp,
        val limit: Int,
    ) : PeerMessage

    /** Answers [TimelineRequest]. */
    @Serializable
    @SerialName("timeline_reply")
    public data class TimelineReply(
        val events: List<Event>,
    ) : PeerMessage

    /** Asks the leader for a [SystemStatus]. */
    @Serializable
    @SerialName("status_request")
    public data object StatusRequest : PeerMessage

    /** Answers [StatusRequest]. */
    @Serializable
    @SerialName("status_reply")
    public data class StatusReply(
        val status: SystemStatus,
    ) : PeerMessage

    /** The message could not be handled. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        val reason: String,
    ) : PeerMessage

    /** Long poll of a control instance: answered at once if anything changed since the given revisions, otherwise after [waitMillis]. */
    @Serializable
    @SerialName("watch")
    public data class Watch(
        /** The entry instance that asks, or null when a control instance asks. */
        @CborLabel(1) val entry: EntryInstance? = null,
        /** Version of the document that the sender has; -1 for none. */
        @CborLabel(2) val documentVersion: Long = -1,
        /** Revision of the named adapter versions that the sender knows. */
        @CborLabel(3) val namedRevision: Long = -1,
        /** Incarnation of the receiver to which [fleetRevision] refers. */
        @CborLabel(4) val incarnation: String = "",
        /** Revision of the receiver's list of backend servers that the sender knows. */
        @CborLabel(5) val fleetRevision: Long = 0,
        /** Longest time in milliseconds for which the receiver may delay its answer. */
        @CborLabel(6) val waitMillis: Long = 0,
        /** All suspects that the sender knows, if the receiver may lack some of them. */
        @CborLabel(7) val suspects: List<SuspectReport> = emptyList(),
        /** Revision of the receiver's suspects that the sender knows; refers to [incarnation]. */
        @CborLabel(8) val suspectRevision: Long = 0,
        /** Latest term whose leader the sender knows; the answer does not wait if the receiver knows a later leader. */
        @CborLabel(9) val term: Long = Long.MAX_VALUE,
        /** How a document that is newer than [documentVersion] is to be answered. */
        @CborLabel(10) val documentDelivery: DocumentDelivery = DocumentDelivery.PLAIN,
        /** Revision of the evacuations that the sender knows. */
        @CborLabel(11) val evacuationRevision: Long = -1,
        /** Latest version of the document that was announced to the sender; it need not be announced again. */
        @CborLabel(12) val announcedVersion: Long = -1,
        /** Revision of the receiver's list of control instances that the sender knows; refers to [incarnation]. */
        @CborLabel(13) val controlRevision: Long = 0,
        /** Hash of the entry hosts that the receiver has sent; null if the sender does not need them. */
        @CborLabel(30) val entryHostsHash: Int? = null,
    ) : PeerMessage

    /** Answers [Watch]. Parts that have not changed are null or empty. */
    @Serializable
    @SerialName("watch_reply")
    public data class WatchReply(
        /** Incarnation of the sender, to which its revisions refer. */
        @CborLabel(1) val incarnation: String,
        /** Revision of the sender's list of backend servers. */
        @CborLabel(2) val fleetRevision: Long,
        /** Reports of the backend servers that have changed. */
        @CborLabel(3) val servers: List<ServerReport> = emptyList(),
        /** The document for a receiver that asked for [DocumentDelivery.PLAIN] and has an older one. */
        @CborLabel(4) val document: ConfigurationDocument? = null,
        /** Named adapter versions; null if the receiver knows [namedRevision]. */
        @CborLabel(5) val namedVersions: Map<AdapterName, Long>? = null,
        /** Revision of the named adapter versions that the sender knows. */
        @CborLabel(6) val namedRevision: Long = -1,
        /** Hosts of the control instances known to the sender; empty if the receiver knows [controlRevision]. */
        @CborLabel(7) @SerialName("controls") val controlHosts: Set<String> = emptySet(),
        /** The leader that the sender knows; null for none. */
        @CborLabel(8) val leader: String? = null,
        /** Latest term that the sender knows. */
        @CborLabel(9) val term: Long = 0,
        /** Number of entry instances that are ready. */
        @CborLabel(10) @SerialName("entries") val entryCount: Int = 1,
        /** Suspects that have changed. */
        @CborLabel(12) val suspects: List<SuspectReport> = emptyList(),
        /** Revision of the sender's suspects. */
        @CborLabel(13) val suspectRevision: Long = 0,
        /** Backend servers whose latest report is unchanged but for its sequence number, with that number. */
        @CborLabel(14) val refreshed: Map<String, ReportVersion> = emptyMap(),
        /** Hosts of the entry instances in use; null if they have not changed or are not asked for. */
        @CborLabel(15) val entryHosts: List<String>? = null,
        /** Availability zones under evacuation; null if the receiver knows [evacuationRevision]. */
        @CborLabel(17) val evacuations: Set<String>? = null,
        /** Revision of the evacuations that the sender knows. */
        @CborLabel(18) val evacuationRevision: Long = -1,
        /** The document for a receiver that asked for [DocumentDelivery.COMPRESSED]. */
        @CborLabel(19) val compressedDocument: CompressedDocument? = null,
        /** Version of the sender's document if it was not announced to the receiver before; otherwise -1. */
        @CborLabel(20) val documentVersion: Long = -1,
        /** Availability zone of the sender, in the first answer of its incarnation. */
        @CborLabel(21) val zone: String? = null,
        /** Revision of the sender's list of control instances. */
        @CborLabel(22) val controlRevision: Long = 0,
    ) : PeerMessage {
        override val contentBytes: Int get() = compressedDocument?.sizeBytes ?: document?.text?.length ?: 0
    }

    /** Tells a control instance of requests under which backend servers have crashed, and of those that were cleared. */
    @Serializable
    @SerialName("suspect_update")
    public data class SuspectUpdate(
        @CborLabel(1) val reports: List<SuspectReport>,
    ) : PeerMessage

    /** Asks the leader to admit one request and choose its server. */
    @Serializable
    @SerialName("admit")
    public data class Admit(
        @CborLabel(1) val demand: DispatchRequest,
    ) : PeerMessage

    /** Answers [Admit]. */
    @Serializable
    @SerialName("admit_reply")
    public data class AdmitReply(
        @CborLabel(1) val term: Long,
        @CborLabel(2) val decision: DispatchDecision,
    ) : PeerMessage

    /**
     * Reports progress of requests that the leader admitted.
     *
     * @property running all running requests, sent when the leader is new to the sender
     * @property streams origins of streams that the leader is not known to have been told
     */
    @Serializable
    @SerialName("progress")
    public data class Progress(
        @CborLabel(1) val entry: String,
        @CborLabel(2) val events: List<RequestEvent> = emptyList(),
        @CborLabel(3) val running: List<RunningRequest> = emptyList(),
        @CborLabel(4) val streams: List<StreamRecord> = emptyList(),
    ) : PeerMessage

    /**
     * Asks the leader for the origin of a stream that a client resumes.
     *
     * @property attemptId the client's attempt that delivered the first event; null if the client did not name it
     * @property services services that may have begun the stream
     * @property lifetimeMillis time in milliseconds for which clients may resume a stream of the route
     */
    @Serializable
    @SerialName("find_stream")
    public data class FindStream(
        @CborLabel(1) val attemptId: String?,
        @CborLabel(2) val services: Set<String>,
        @CborLabel(3) val lifetimeMillis: Long,
    ) : PeerMessage

    /**
     * Answers [FindStream].
     *
     * @property origin null if it is not known
     * @property mayBeReported true if an entry instance may still report the origin, because the leader is new
     */
    @Serializable
    @SerialName("find_stream_reply")
    public data class FindStreamReply(
        @CborLabel(1) val origin: StreamOrigin? = null,
        @CborLabel(2) val mayBeReported: Boolean = false,
    ) : PeerMessage

    /** Asks the load delegate of engine [server] to load an adapter, of at least [version] if that is not null. */
    @Serializable
    @SerialName("delegate_load")
    public data class DelegateLoad(
        @CborLabel(1) val service: String,
        @CborLabel(2) val server: String,
        @CborLabel(3) val model: String,
        @CborLabel(4) val adapter: String,
        @CborLabel(5) val version: Long? = null,
    ) : PeerMessage

    /**
     * Answers [DelegateLoad]. [loaded] if the adapter is loaded or being loaded; it can be used after [readyInMillis]. Otherwise
     * [readyInMillis] is the time after which the load can be asked for again, 0 if it cannot be carried out.
     */
    @Serializable
    @SerialName("delegate_load_reply")
    public data class DelegateLoadReply(
        @CborLabel(1) val loaded: Boolean,
        @CborLabel(2) val readyInMillis: Long = 0,
    ) : PeerMessage

    /** Asks the leader for the latest configuration document. Linearizable: the answer was the latest at some time after the request. */
    @Serializable
    @SerialName("read_document")
    public data object ReadDocument : PeerMessage

    /** Answers [ReadDocument]. [document] is null if none has been accepted yet. */
    @Serializable
    @SerialName("document_reply")
    public data class DocumentReply(
        @CborLabel(1) val document: ConfigurationDocument?,
    ) : PeerMessage {
        override val contentBytes: Int get() = document?.text?.length ?: 0
    }
}
