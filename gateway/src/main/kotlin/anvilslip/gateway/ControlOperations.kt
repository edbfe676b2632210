package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Finding
import anvilslip.policy.EntryInstance
import anvilslip.policy.EntryWeights
import anvilslip.policy.ServerReport
import anvilslip.state.Command
import anvilslip.state.ConfigurationDocument
import anvilslip.state.ConfirmedRead
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
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Operations of a control instance for operators, backend servers and clients.
 *
 * @param zones all availability zones; empty if they are not known
 */
public class ControlOperations(
    private val dialect: DocumentDialect,
    private val clusterView: ClusterView,
    private val replica: Replica,
    private val network: PeerNetwork,
    private val watchResponder: WatchResponder,
    private val zones: Set<String>,
    private val clock: Clock,
) {
    private val log = EventLogger("control")
    private val startedAt = clock.elapsed()

    /** Allows one document at a time to be parsed, since the parsed form of a large one takes several times its size. */
    private val parsing = Mutex()

    /** Why replacing the document was not acknowledged. */
    public sealed interface DocumentError {
        /** The document was rejected. */
        public data class Invalid(
            val findings: List<Finding>,
        ) : DocumentError

        /** The document may or may not have been applied; it is safe to retry with the same document. */
        public data object Unknown : DocumentError
    }

    /** Why the start or the end of an evacuation was not acknowledged. */
    public enum class EvacuationError {
        /** The name of the zone is empty or contains a slash. */
        INVALID_ZONE,

        /** No such zone exists. */
        UNKNOWN_ZONE,

        /** The change may or may not have been applied; it is safe to retry. */
        UNCONFIRMED,
    }

    /** Replaces the configuration by the document [text]; returns the version that is active afterwards, which may be a newer one. */
    public suspend fun replaceDocument(text: String): Either<DocumentError, Long> {
        val version = parsing.withLock { dialect.parse(text).map { it.version } }.getOrElse { return rejectInvalid(it).left() }
        val outcome = propose(Command.ReplaceDocument(ConfigurationDocument(version, text)))
        log.info("document_proposed", "version" to version, "outcome" to outcome, "term" to replica.view.term)
        return when (outcome) {
            is Outcome.DocumentInForce -> outcome.version.right()
            is Outcome.DocumentSuperseded -> outcome.inForce.right()
            else -> DocumentError.Unknown.left()
        }
    }

    private fun rejectInvalid(findings: List<Finding>): DocumentError {
        log.info("document_rejected", "findings" to findings.joinToString("; "))
        return DocumentError.Invalid(findings)
    }

    /** Sets the current version of an adapter; returns true once the replicas have committed it, false if that takes too long. */
    public suspend fun nameVersion(
        model: String,
        adapter: String,
        version: Long,
    ): Boolean {
        val outcome = propose(Command.NameVersion(model, adapter, version))
        log.info("version_named", "model" to model, "adapter" to adapter, "version" to version, "outcome" to outcome)
        return outcome != null
    }

    /** Starts the evacuation of the availability zone [zone], or ends it; returns once the replicas have committed that. */
    public suspend fun setEvacuation(
        zone: String,
        isActive: Boolean,
    ): Either<EvacuationError, Unit> {
        if (zone.isEmpty() || '/' in zone) return EvacuationError.INVALID_ZONE.left()
        if (zones.isNotEmpty() && zone !in zones) return EvacuationError.UNKNOWN_ZONE.left()
        val outcome = proposeEvacuation(zone, isActive)
        log.info("evacuation_proposed", "zone" to zone, "active" to isActive, "outcome" to outcome, "term" to replica.view.term)
        return if (outcome is Outcome.Done) Unit.right() else EvacuationError.UNCONFIRMED.left()
    }

    /** Proposes again if the state here was behind that of the leader, or another evacuation came first. */
    private suspend fun proposeEvacuation(
        zone: String,
        isActive: Boolean,
    ): Outcome? {
        var revision = replica.view.state.evacuationRevision
        repeat(MAX_CONFLICTS) {
            val outcome = propose(Command.SetEvacuation(zone, isActive, revision))
            revision = (outcome as? Outcome.Conflict ?: return outcome).revision
        }
        return null
    }

    /** Returns the latest committed document, null if none was ever committed, or an error if that could not be confirmed. */
    public suspend fun readDocument(): Either<ProposeError, ConfigurationDocument?> {
        val leader = remoteLeader() ?: return readOnLeader()
        val answer = network.call(leader, PeerMessage.ReadDocument, READ_TIMEOUT).getOrNull()
        return (answer as? PeerMessage.DocumentReply)?.document?.right() ?: ProposeError.Unknown.left()
    }

    /** Serves [readDocument] on the leader. */
    public suspend fun readOnLeader(): Either<ProposeError, ConfigurationDocument?> =
        replica.read().onRight(::logRead).map { it.state.document }

    private fun logRead(read: ConfirmedRead) =
        log.info("configuration_read", "version" to read.state.document?.version, "index" to read.index, "term" to read.term)

    /** Records the heartbeat of a backend server. */
    public fun recordHeartbeat(report: ServerReport) {
        clusterView.recordReport(report, direct = true)
    }

    /** Deregisters a backend server; [startedAtMillis] is when its process started, by default the last known one. */
    public fun deregister(
        server: String,
        startedAtMillis: Long?,
    ): Unit = clusterView.deregister(server, startedAtMillis)

    /**
     * Returns the ready entry instances for a client in [zone], by weight and at most [maxLength]: only those of the zone if there are at
     * least [MIN_NEARBY], otherwise all. Returns null during the first [STARTUP_PERIOD], in which not all entry instances may have
     * reported to this instance.
     */
    public fun resolveEntries(
        zone: String?,
        maxLength: Int,
    ): List<EntryInstance>? {
        if (clock.elapsed() - startedAt < STARTUP_PERIOD) return null
        val ready = watchResponder.readyEntries().sortedBy { it.host }
        val nearby = ready.filter { it.zone == zone }
        return EntryWeights.list(if (nearby.size >= MIN_NEARBY) nearby else ready, maxLength)
    }

    /** Host of the leader; null if this instance leads or no leader is known. */
    private fun remoteLeader(): String? {
        val view = replica.view
        return view.leader?.instance?.takeIf { it != view.id.instance }
    }

    private suspend fun propose(command: Command): Outcome? {
        val deadline = clock.elapsed() + PROPOSE_TIMEOUT
        while (clock.elapsed() < deadline) {
            val leader = remoteLeader()
            val outcome =
                if (leader == null) replica.propose(command).getOrNull() else proposeTo(leader, command, deadline - clock.elapsed())
            if (outcome != null) return outcome
            delay(PROPOSE_RETRY)
        }
        return null
    }

    private suspend fun proposeTo(
        leader: String,
        command: Command,
        timeout: Duration,
    ): Outcome? = (network.call(leader, PeerMessage.Propose(command), timeout).getOrNull() as? PeerMessage.ProposeReply)?.outcome

    private companion object {
        /** Within this time all entry instances have reported to a control instance that has just started. */
        val STARTUP_PERIOD = 1500.milliseconds
        const val MIN_NEARBY = 2
        val PROPOSE_TIMEOUT = 2500.milliseconds
        val PROPOSE_RETRY = 30.milliseconds

        /** Attempts of one call at changing the evacuations. */
        const val MAX_CONFLICTS = 3
        val READ_TIMEOUT = 900.milliseconds
    }
}
