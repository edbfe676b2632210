package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.FleetTable
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.AdapterName
import anvilslip.state.ConfigurationDocument
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What this instance believes: the configuration in force, the backend servers and who leads. What it believes only ever gets
 * newer while the process runs. Thread-safe.
 */
public class ClusterView(
    private val dialect: DocumentDialect,
    private val clock: Clock,
    seeds: Set<String>,
    heartbeat: Duration,
) {
    /** The configuration in force, in all the forms that are needed. */
    public data class ActiveConfiguration(
        val document: ConfigurationDocument? = null,
        val configuration: ServingConfiguration? = null,
        val versions: Map<AdapterName, Long> = emptyMap(),
        val versionsRevision: Long = -1,
    )

    /** The leader that was heard of last. */
    public data class Leader(
        val host: String?,
        val term: Long,
    )

    /** What there is to tell of the backend servers. */
    public data class FleetUpdate(
        val changed: List<ServerReport>,
        /** Servers that reported and said nothing new, with the number of the report. */
        val refreshed: Map<String, Long>,
        /** Revision that this leads to. */
        val revision: Long,
    )

    private val log = EventLogger("knowledge")
    private val fleet = FleetTable()
    private val changes = MutableStateFlow(0L)
    private val force = AtomicReference(ActiveConfiguration())
    private val leading = AtomicReference(Leader(null, 0))
    private val silence = heartbeat * MISSED_HEARTBEATS + LATE_HEARTBEAT

    @Volatile
    private var knownControlHosts = seeds

    /** How many entry instances are up, as far as is known. */
    @Volatile
    public var entryCount: Int = 1

    /** What is in force here. */
    public val active: ActiveConfiguration get() = force.get()

    /** The leader, as far as is known. */
    public val leader: Leader get() = leading.get()

    /** Hosts of control instances: seeds and all that were heard of. */
    public val controlHosts: Set<String> get() = knownControlHosts

    /** Grows with each change that others should hear of at once. */
    public val changeCount: Long get() = changes.value

    /** Waits until [changeCount] is over [known], for [timeout] at the most. */
    public suspend fun awaitChange(
        known: Long,
        timeout: Duration,
    ) {
        withTimeoutOrNull(timeout) { changes.first { it > known } }
    }

    /** Takes over [document] if it is newer than the one in force. */
    public fun applyDocument(document: ConfigurationDocument) {
        if (document.version <= (active.document?.version ?: -1)) return
        val read =
            dialect.parse(document.text).fold({
                log.error("document_unreadable", "version" to document.version, "findings" to it.joinToString("; "))
                return
            }, { it })
        val before =
            force.getAndUpdate {
                if (document.version <= (it.document?.version ?: -1)) it else it.copy(document = document, configuration = read)
            }
        log.info(
            "configuration_in_force",
            "version" to document.version,
            "before" to before.document?.version,
            "routes" to read.routes.size,
        )
        changed()
    }

    /** Takes over the named [versions] of adapters if [revision] is newer. */
    public fun applyVersions(
        versions: Map<AdapterName, Long>,
        revision: Long,
    ) {
        if (revision <= active.versionsRevision) return
        force.updateAndGet { if (revision > it.versionsRevision) it.copy(versions = versions, versionsRevision = revision) else it }
        if (versions.isNotEmpty()) log.info("versions_in_force", "revision" to revision, "named" to versions.size)
        changed()
    }

    /** Takes in that [host] leads in [term]. */
    public fun observeLeader(
        host: String,
        term: Long,
    ) {
        val before = leading.getAndUpdate { if (term >= it.term) Leader(host, term) else it }
        if (term > before.term) log.info("leader_known", "leader" to host, "term" to term, "before" to before.host)
    }

    /** Takes in control instances that others know. */
    public fun addControlHosts(hosts: Set<String>) {
        val added = hosts - knownControlHosts
        if (added.isEmpty()) return
        synchronized(this) { knownControlHosts = knownControlHosts + hosts }
        log.info("controls_known", "added" to added.joinToString(","))
    }

    /** Takes in a report of a backend server; [direct] when the server sent it here. */
    public fun recordReport(
        report: ServerReport,
        direct: Boolean,
    ): FleetTable.Change {
        val change = synchronized(fleet) { fleet.applyReport(report, direct, clock.elapsed()) }
        noteServer(report, change, direct)
        return change
    }

    /** Takes in that a backend server has signed off. */
    public fun deregister(
        server: String,
        startedAtMillis: Long,
    ) {
        val change = synchronized(fleet) { fleet.deregister(server, startedAtMillis, clock.elapsed()) }
        if (change == FleetTable.Change.CHANGED) log.info("server_signed_off", "server" to server)
        if (change == FleetTable.Change.CHANGED) changed()
    }

    /** Backend servers that have not been silent for long. */
    public fun servers(): List<ServerReport> = synchronized(fleet) { fleet.aliveServers(clock.elapsed(), silence) }

    /** What there is to tell of the servers since [revision]. */
    public fun fleetUpdateSince(
        revision: Long,
        directOnly: Boolean,
    ): FleetUpdate =
        synchronized(fleet) {
            fleet.evictExpired(clock.elapsed())
            FleetUpdate(fleet.changesSince(revision, directOnly), fleet.refreshedSince(revision), fleet.revision)
        }

    /** Takes in that server [id] was heard of elsewhere and said nothing new. */
    public fun refreshServer(
        id: String,
        sequence: Long,
    ): Unit = synchronized(fleet) { fleet.refresh(id, sequence, clock.elapsed()) }

    /** True when a server has changed after [revision]; only one that said so here itself counts when [directOnly]. */
    public fun hasFleetChangeSince(
        revision: Long,
        directOnly: Boolean,
    ): Boolean = synchronized(fleet) { fleet.hasChangedSince(revision, directOnly) }

    private fun noteServer(
        report: ServerReport,
        change: FleetTable.Change,
        direct: Boolean,
    ) {
        if (change != FleetTable.Change.CHANGED) return
        log.info(
            "server_changed",
            "server" to report.id,
            "service" to report.service,
            "address" to report.address,
            "phase" to report.phase,
            "sequence" to report.sequence,
            "direct" to direct,
        )
        changed()
    }

    private fun changed() {
        synchronized(changes) { changes.value++ }
    }

    private companion object {
        /** Heartbeats that may be lost before a server is taken to be gone. */
        const val MISSED_HEARTBEATS = 3

        /** How late a heartbeat may come. */
        val LATE_HEARTBEAT = 1500.milliseconds
    }
}
