package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.ColdServers
import anvilslip.policy.ContactClock
import anvilslip.policy.ControlInstances
import anvilslip.policy.EntryCount
import anvilslip.policy.EntryHosts
import anvilslip.policy.FleetTable
import anvilslip.policy.ReportVersion
import anvilslip.policy.ServerLimits
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.AdapterName
import anvilslip.state.ConfigurationDocument
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * This instance's view of the cluster: the active configuration, the backend servers and the leader. Updates that are older than
 * what is known are ignored, so the view never goes back while the process runs. Thread-safe.
 */
public class ClusterView(
    private val dialect: DocumentDialect,
    private val clock: Clock,
    seeds: Set<String>,
    heartbeat: Duration,
    private val onEvacuationChange: (zone: String, isActive: Boolean) -> Unit = { _, _ -> },
    /** Called with the version of each configuration document that comes into force. */
    private val onVersionChange: (version: Long) -> Unit = {},
) {
    /** The active configuration document, its parsed form, and the versions set for adapters. */
    public data class ActiveConfiguration(
        val document: ConfigurationDocument? = null,
        val configuration: ServingConfiguration? = null,
        val versions: Map<AdapterName, Long> = emptyMap(),
        val versionsRevision: Long = -1,
    )

    /** Availability zones under evacuation; [revision] increases with each change, and is -1 until a state is known. */
    public data class Evacuations(
        val zones: Set<String> = emptySet(),
        val revision: Long = -1,
    )

    /** The last known leader. */
    public data class Leader(
        val host: String?,
        val term: Long,
    )

    /** Changes of the backend servers since an earlier revision. */
    public data class FleetUpdate(
        val changed: List<ServerReport>,
        /** The latest reports of servers that have reported again without a change, by server ID. */
        val refreshed: Map<String, ReportVersion>,
        /** Revision after this update. */
        val revision: Long,
    )

    private val log = EventLogger("knowledge")
    private val fleet = FleetTable()
    private val contact = ContactClock()
    private val entries = EntryCount()
    private val reportedEntries = EntryHosts()
    private val changes = MutableStateFlow(0L)
    private val activeRef = AtomicReference(ActiveConfiguration())
    private val leaderRef = AtomicReference(Leader(null, 0))
    private val evacuationsRef = AtomicReference(Evacuations())
    private val serverTimeout = heartbeat * MISSED_HEARTBEATS + HEARTBEAT_GRACE

    private val controls = ControlInstances(seeds)

    @Volatile
    private var knownControlHosts = controls.hosts

    /** Which servers are cold. */
    public val coldServers: ColdServers = ColdServers()

    /** The limits that servers have named in their answers to this instance. */
    public val serverLimits: ServerLimits = ServerLimits()

    /** Requests that may crash backend servers. */
    public val suspects: SuspectRegistry = SuspectRegistry(clock, ::signalChange)

    /** Availability zones of the other instances. */
    public val zones: PeerZones = PeerZones()

    /** Number of entry instances among which the limits of workspaces are divided; null until a control instance has reported it. */
    public val entryCount: Int? get() = synchronized(entries) { entries.current(clock.elapsed()) }

    /** Hosts of the entry instances in use, as last reported by the control instances. */
    public val entryHosts: Set<String> get() = synchronized(reportedEntries) { reportedEntries.all }

    /** The configuration that this instance uses. */
    public val active: ActiveConfiguration get() = activeRef.get()

    /** The last known leader; its host is null until one is known. */
    public val leader: Leader get() = leaderRef.get()

    /** The availability zones to whose servers nothing new is sent. */
    public val evacuations: Evacuations get() = evacuationsRef.get()

    /** Hosts of the seeds and of the control instances that were reported recently. */
    public val controlHosts: Set<String> get() = knownControlHosts

    /** Increases with each change that must be propagated to other instances at once. */
    public val changeCount: Long get() = changes.value

    /** Waits until [changeCount] exceeds [seenCount]. */
    public suspend fun awaitChange(seenCount: Long) {
        changes.first { it > seenCount }
    }

    /**
     * Applies [document] if it is newer than the active one and can be parsed.
     *
     * @param source where the document comes from: the host of a control instance, or [LOG_SOURCE]
     */
    public fun applyDocument(
        document: ConfigurationDocument,
        source: String = LOG_SOURCE,
    ) {
        if (document.version <= (active.document?.version ?: -1)) return
        val parsed =
            dialect.parse(document.text).fold({
                log.error("document_invalid", "version" to document.version, "findings" to it.joinToString("; "))
                return
            }, { it })
        val previous =
            activeRef.getAndUpdate {
                if (document.version <= (it.document?.version ?: -1)) it else it.copy(document = document, configuration = parsed)
            }
        log.info(
            "configuration_applied",
            "version" to document.version,
            "previous" to previous.document?.version,
            "source" to source,
            "routes" to parsed.routes.size,
        )
        onVersionChange(active.document?.version ?: document.version)
        signalChange()
    }

    /** Applies the [versions] set for adapters if [revision] is newer than the active one. */
    public fun applyVersions(
        versions: Map<AdapterName, Long>,
        revision: Long,
    ) {
        if (revision <= active.versionsRevision) return
        activeRef.updateAndGet { if (revision > it.versionsRevision) it.copy(versions = versions, versionsRevision = revision) else it }
        if (versions.isNotEmpty()) log.info("versions_applied", "revision" to revision, "named" to versions.size)
        signalChange()
    }

    /** Applies the state of the evacuations if it is newer than the known one. */
    public fun applyEvacuations(next: Evacuations) {
        synchronized(evacuationsRef) {
            val previous = evacuations
            if (next.revision <= previous.revision) return
            evacuationsRef.set(next)
            for (zone in next.zones - previous.zones) recordEvacuationChange(zone, isActive = true, next.revision)
            for (zone in previous.zones - next.zones) {
                // Its servers may have become cold without a report that has reached this instance.
                coldServers.markZoneCold(zone, clock.elapsed())
                recordEvacuationChange(zone, isActive = false, next.revision)
            }
        }
        signalChange()
    }

    private fun recordEvacuationChange(
        zone: String,
        isActive: Boolean,
        revision: Long,
    ) {
        log.info("evacuation_changed", "zone" to zone, "active" to isActive, "revision" to revision)
        onEvacuationChange(zone, isActive)
    }

    /** True if [server] is in an availability zone under evacuation. */
    public fun isEvacuated(server: ServerReport): Boolean = server.zone in evacuations.zones

    /** True if backend server [id] is known to be in an availability zone under evacuation. */
    public fun isEvacuated(id: String): Boolean = evacuations.zones.isNotEmpty() && server(id)?.let(::isEvacuated) == true

    /** Records that [host] leads in [term], unless a leader of a later term is known. */
    public fun observeLeader(
        host: String,
        term: Long,
    ) {
        val previous = leaderRef.getAndUpdate { if (term >= it.term) Leader(host, term) else it }
        if (term <= previous.term) return
        log.info("leader_known", "leader" to host, "term" to term, "previous" to previous.host)
        signalChange()
    }

    /** Records that [control] has heard of [count] entry instances in use. */
    public fun observeEntryCount(
        control: String,
        count: Int,
    ): Unit =
        synchronized(entries) {
            val previous = entryCount
            entries.record(control, count, clock.elapsed())
            val current = entryCount
            if (current != previous) log.info("entry_count_changed", "control" to control, "count" to current, "previous" to previous)
        }

    /** Lets the reports of servers age only while control instances answer; to be called with each answer. */
    public fun recordContact(): Unit = synchronized(fleet) { contact.recordAnswer(clock.elapsed()) }

    /** Records an answer of [control], which reports [hosts] as entry instances in use, or no change of them if they are null. */
    public fun observeEntryHosts(
        control: String,
        hosts: List<String>?,
    ) {
        synchronized(reportedEntries) {
            val previous = reportedEntries.all
            reportedEntries.record(control, hosts, clock.elapsed())
            val current = reportedEntries.all
            if (current != previous) {
                log.info("entry_hosts_changed", "control" to control, "added" to (current - previous), "removed" to (previous - current))
            }
        }
    }

    /** Records that a control instance reports [hosts] as control instances. */
    public fun recordControlHosts(hosts: Set<String>): Unit = updateControls { it.record(hosts, clock.elapsed()) }

    /** Applies the [seeds] of changed settings. */
    public fun updateSeeds(seeds: Set<String>): Unit = updateControls { it.seeds = seeds }

    private fun updateControls(change: (ControlInstances) -> Unit) {
        synchronized(controls) {
            change(controls)
            val next = controls.hosts
            val previous = knownControlHosts
            if (next == previous) return
            knownControlHosts = next
            log.info("controls_changed", "added" to (next - previous).joinToString(","), "removed" to (previous - next).joinToString(","))
        }
    }

    /** Records the report of a backend server; [direct] is true if the server itself sent it to this instance. */
    public fun recordReport(
        report: ServerReport,
        direct: Boolean,
    ): FleetTable.Change {
        val change = synchronized(fleet) { fleet.applyReport(report, direct, fleetTime()) }
        if (change != FleetTable.Change.NONE) coldServers.observe(report, clock.elapsed())
        publishServerChange(report, change, direct)
        return change
    }

    /** Deregisters the process of a backend server that started at [startedAtMillis], by default the last known one. */
    public fun deregister(
        server: String,
        startedAtMillis: Long?,
    ) {
        val change =
            synchronized(fleet) {
                val start = startedAtMillis ?: fleet[server]?.startedAtMillis ?: clock.now().toEpochMilliseconds()
                fleet.deregister(server, start, fleetTime())
            }
        if (change == FleetTable.Change.CHANGED) log.info("server_signed_off", "server" to server)
        if (change == FleetTable.Change.CHANGED) signalChange()
    }

    /** Software versions of the servers of [service] that have reported within [period], also of those that have left. */
    public fun softwareVersions(
        service: String,
        period: Duration,
    ): Set<String> = synchronized(fleet) { fleet.softwareVersions(service, fleetTime() - period) }

    /** Returns the backend servers that have reported within the timeout and have not been deregistered. */
    public fun servers(): List<ServerReport> = synchronized(fleet) { fleet.aliveServers(fleetTime(), serverTimeout) }

    /** True if [server] has named a limit in its answers to this instance. */
    public fun isLimited(server: ServerReport): Boolean = serverLimits.limitOf(server.incarnation) != null

    /** True if [server] is cold and tolerates only few requests. */
    public fun isCold(server: ServerReport): Boolean =
        coldServers.isCold(server, active.configuration?.services?.get(server.service), clock.elapsed())

    /** Returns the last report of backend server [id], or null if it is not known. */
    public fun server(id: String): ServerReport? = synchronized(fleet) { fleet[id] }

    /** Returns the changes since [revision]; if [directOnly], only those that servers reported to this instance. */
    public fun fleetUpdateSince(
        revision: Long,
        directOnly: Boolean,
    ): FleetUpdate =
        synchronized(fleet) {
            fleet.evictExpired(fleetTime())
            FleetUpdate(fleet.changesSince(revision, directOnly), fleet.refreshedSince(revision), fleet.revision)
        }

    /** Records that server [id] sent its report [version] to another instance and that nothing else has changed. */
    public fun refreshServer(
        id: String,
        version: ReportVersion,
    ): Unit = synchronized(fleet) { fleet.refresh(id, version, fleetTime()) }

    /** True if a server that reports to this instance has changed after [revision]. */
    public fun hasDirectFleetChangeSince(revision: Long): Boolean =
        synchronized(fleet) { fleet.hasChangedSince(revision, directOnly = true) }

    /** The time by which the reports of servers age. Differs from that of [clock] only where [recordContact] is used. */
    private fun fleetTime(): Duration = contact.time(clock.elapsed())

    private fun publishServerChange(
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
            "version" to report.softwareVersion,
            "sequence" to report.sequence,
            "direct" to direct,
        )
        signalChange()
    }

    private fun signalChange() {
        synchronized(changes) { changes.value++ }
    }

    public companion object {
        /** Source of a document that this instance has applied from the replicated log. */
        public const val LOG_SOURCE: String = "log"

        /** Consecutive heartbeats that may be lost before a server is considered down. */
        private const val MISSED_HEARTBEATS = 3

        /** Tolerated delay of a heartbeat. */
        private val HEARTBEAT_GRACE = 1500.milliseconds
    }
}
