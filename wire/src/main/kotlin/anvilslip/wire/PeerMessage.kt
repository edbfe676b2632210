@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.wire

import anvilslip.kernel.Event
import anvilslip.kernel.Stamp
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.PlacementDecision
import anvilslip.policy.EntryInstance
import anvilslip.policy.FleetView
import anvilslip.policy.Grant
import anvilslip.policy.InstanceView
import anvilslip.policy.RunningRequest
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRequest
import anvilslip.policy.RequestEvent
import anvilslip.policy.ServerReport
import anvilslip.policy.Usage
import anvilslip.policy.AdapterUse
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
    /** Between replicas; not answered. */
    @Serializable
    @SerialName("replica")
    public data class Replica(
        @CborLabel(1) val from: ReplicaId,
        @CborLabel(2) val to: ReplicaId,
        @CborLabel(3) val message: ReplicaMessage,
    ) : PeerMessage

    /** An instance reports to the leader, several times a second. */
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
        /** Mean milliseconds that requests took at their servers since the last poll; 0 when there were none. */
        @CborLabel(9) val serviceMillis: Long = 0,
    ) : PeerMessage

    /** What the leader has that the polling instance lacks. */
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

    /** The receiver does not lead; [leader] may. */
    @Serializable
    @SerialName("not_leader")
    public data class NotLeader(
        val leader: String?,
    ) : PeerMessage

    /** A backend server has announced itself to the sender. */
    @Serializable
    @SerialName("announced")
    public data class Announced(
        @CborLabel(1) val announcement: Announcement,
    ) : PeerMessage

    /** Asks for a sign of life. */
    @Serializable
    @SerialName("ping")
    public data object Ping : PeerMessage

    /** Acknowledges a message without an answer of its own. */
    @Serializable
    @SerialName("ack")
    public data object Ack : PeerMessage

    /** Asks for a server for a request that can wait for [waitMillis]. */
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

    /** A server answered that it does not hold an adapter that it was thought to hold. */
    @Serializable
    @SerialName("not_loaded")
    public data class NotLoaded(
        val server: String,
        val adapter: AdapterVersion,
    ) : PeerMessage

    /** Asks for tokens of a workspace; [instance] names the incarnation, since a restarted instance has lost its tokens. */
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

    /** Asks the leader to have a command agreed on. */
    @Serializable
    @SerialName("propose")
    public data class Propose(
        @CborLabel(1) val command: Command,
    ) : PeerMessage

    /** Answers [Propose] with one of the two. */
    @Serializable
    @SerialName("propose_reply")
    public data class ProposeReply(
        @CborLabel(1) val outcome: Outcome? = null,
        @CborLabel(2) val error: ProposeError? = null,
    ) : PeerMessage

    /** Asks for the events of an instance after [since]. */
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

    /** Asks the leader for the state of the system. */
    @Serializable
    @SerialName("status_request")
    public data object StatusRequest : PeerMessage

    /** Answers [StatusRequest]. */
    @Serializable
    @SerialName("status_reply")
    public data class StatusReply(
        val status: SystemStatus,
    ) : PeerMessage

    /** The request could not be handled. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        val reason: String,
    ) : PeerMessage

    /** Asks a control instance for what has changed; answered at once when there is something, else after [waitMillis]. */
    @Serializable
    @SerialName("watch")
    public data class Watch(
        /** The asking entry instance, or null when a control instance asks. */
        @CborLabel(1) val entry: EntryInstance? = null,
        @CborLabel(2) val documentVersion: Long = -1,
        @CborLabel(3) val namedRevision: Long = -1,
        /** Incarnation of the asked instance that [fleetRevision] belongs to. */
        @CborLabel(4) val incarnation: String = "",
        @CborLabel(5) val fleetRevision: Long = 0,
        @CborLabel(6) val waitMillis: Long = 0,
    ) : PeerMessage

    /** Answers [Watch]; what is null or empty has not changed. */
    @Serializable
    @SerialName("watch_reply")
    public data class WatchReply(
        @CborLabel(1) val incarnation: String,
        @CborLabel(2) val fleetRevision: Long,
        @CborLabel(3) val servers: List<ServerReport> = emptyList(),
        @CborLabel(4) val document: ConfigurationDocument? = null,
        @CborLabel(5) val namedVersions: Map<AdapterName, Long>? = null,
        @CborLabel(6) val namedRevision: Long = -1,
        /** Hosts of the control instances that the asked one knows. */
        @CborLabel(7) @SerialName("controls") val controlHosts: Set<String> = emptySet(),
        @CborLabel(8) val leader: String? = null,
        @CborLabel(9) val term: Long = 0,
        /** How many entry instances are known to be up. */
        @CborLabel(10) @SerialName("entries") val entryCount: Int = 1,
        /** Backend servers that reported and said nothing new, with the number of the report. */
        @CborLabel(11) val refreshed: Map<String, Long> = emptyMap(),
    ) : PeerMessage

    /** Asks the leader for a server for one request. */
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

    /** What became of requests that the leader admitted; [running] lists all that run when the leader is new to the sender. */
    @Serializable
    @SerialName("progress")
    public data class Progress(
        @CborLabel(1) val entry: String,
        @CborLabel(2) val events: List<RequestEvent> = emptyList(),
        @CborLabel(3) val running: List<RunningRequest> = emptyList(),
    ) : PeerMessage

    /** Asks the leader for the newest document; the answer is certain to be the newest at some moment after the question. */
    @Serializable
    @SerialName("read_document")
    public data object ReadDocument : PeerMessage

    /** Answers [ReadDocument]; null when none was ever accepted. */
    @Serializable
    @SerialName("document_reply")
    public data class DocumentReply(
        @CborLabel(1) val document: ConfigurationDocument?,
    ) : PeerMessage
}
