package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Finding
import anvilslip.policy.EntryInstance
import anvilslip.policy.ServerReport
import anvilslip.state.Command
import anvilslip.state.ConfigurationDocument
import anvilslip.state.Outcome
import anvilslip.state.ProposeError
import anvilslip.state.Replica
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What operators, backend servers and clients may ask of a control instance. */
public class ControlOperations(
    private val dialect: DocumentDialect,
    private val clusterView: ClusterView,
    private val replica: Replica,
    private val network: PeerNetwork,
    private val watchResponder: WatchResponder,
    private val clock: Clock,
) {
    private val log = EventLogger("control")
    private val startedAt = clock.elapsed()

    /** Why a document was not accepted. */
    public sealed interface DocumentError {
        /** It will not be accepted. */
        public data class Invalid(
            val findings: List<Finding>,
        ) : DocumentError

        /** It may or may not be in force; the same may be sent again. */
        public data object Unknown : DocumentError
    }

    /** Puts the document [text] in force; returns the version in force after it. */
    public suspend fun replaceDocument(text: String): Either<DocumentError, Long> {
        val read = dialect.parse(text).getOrElse { return invalid(it).left() }
        val outcome = propose(Command.ReplaceDocument(ConfigurationDocument(read.version, text)))
        log.info("document_proposed", "version" to read.version, "outcome" to outcome, "term" to replica.view.term)
        return when (outcome) {
            is Outcome.DocumentInForce -> outcome.version.right()
            is Outcome.DocumentSuperseded -> outcome.inForce.right()
            else -> DocumentError.Unknown.left()
        }
    }

    private fun invalid(findings: List<Finding>): DocumentError {
        log.info("document_refused", "findings" to findings.joinToString("; "))
        return DocumentError.Invalid(findings)
    }

    /** Names a version of an adapter as the newest; true once it is agreed on. */
    public suspend fun nameVersion(
        model: String,
        adapter: String,
        version: Long,
    ): Boolean {
        val outcome = propose(Command.NameVersion(model, adapter, version))
        log.info("version_named", "model" to model, "adapter" to adapter, "version" to version, "outcome" to outcome)
        return outcome != null
    }

    /** The newest document, or why it is not known for certain; null in it when there is none. */
    public suspend fun readDocument(): Either<ProposeError, ConfigurationDocument?> {
        val leader = leaderElsewhere() ?: return readOnLeader()
        val answer = network.call(leader, PeerMessage.ReadDocument, READ_TIMEOUT).getOrNull()
        return (answer as? PeerMessage.DocumentReply)?.document?.right() ?: ProposeError.Unknown.left()
    }

    /** As [readDocument] on the leader: a round among the replicas proves that its state is the newest. */
    public suspend fun readOnLeader(): Either<ProposeError, ConfigurationDocument?> =
        replica.propose(Command.Confirm).map { replica.view.state.document }

    /** Takes in what a backend server says of itself. */
    public fun recordHeartbeat(report: ServerReport) {
        clusterView.recordReport(report, direct = true)
    }

    /** Takes in that a backend server has signed off. */
    public fun deregister(
        server: String,
        bornMillis: Long?,
    ): Unit = clusterView.deregister(server, bornMillis ?: clock.now().toEpochMilliseconds())

    /**
     * Entry instances for a client in [zone], those nearby alone if there are enough; null while this instance does not know
     * them all yet.
     */
    public fun resolveEntries(zone: String?): List<EntryInstance>? {
        if (clock.elapsed() - startedAt < SETTLING) return null
        val ready = watchResponder.readyEntries().sortedBy { it.host }
        val near = ready.filter { it.zone == zone }
        return if (near.size >= MIN_NEAR) near else ready
    }

    /** Host of the leader; null when it is this instance or none is known. */
    private fun leaderElsewhere(): String? {
        val view = replica.view
        return view.leader?.instance?.takeIf { it != view.id.instance }
    }

    private suspend fun propose(command: Command): Outcome? {
        val deadline = clock.elapsed() + PROPOSE_TIMEOUT
        while (clock.elapsed() < deadline) {
            val leader = leaderElsewhere()
            val outcome =
                if (leader == null) replica.propose(command).getOrNull() else proposeAt(leader, command, deadline - clock.elapsed())
            if (outcome != null) return outcome
            delay(PROPOSE_RETRY)
        }
        return null
    }

    private suspend fun proposeAt(
        leader: String,
        command: Command,
        timeout: Duration,
    ): Outcome? = (network.call(leader, PeerMessage.Propose(command), timeout).getOrNull() as? PeerMessage.ProposeReply)?.outcome

    private companion object {
        /** Entry instances have reported to a new control instance by then. */
        val SETTLING = 1500.milliseconds
        const val MIN_NEAR = 2
        val PROPOSE_TIMEOUT = 2500.milliseconds
        val PROPOSE_RETRY = 30.milliseconds
        val READ_TIMEOUT = 900.milliseconds
    }
}
