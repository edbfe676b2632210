package anvilslip.control

import anvilslip.policy.Announcement
import anvilslip.state.ReplicaView
import anvilslip.wire.SystemStatus
import kotlin.time.Duration

/** Reports what [leader] knows at [now] of the instances, backend servers and workspaces, with the replicated state of [view]. */
internal fun systemStatus(
    leader: LeaderState,
    view: ReplicaView,
    now: Duration,
): SystemStatus {
    val inFlight = leader.placement.inFlight()
    val draining = view.state.configuration.draining.keys
    return SystemStatus(
        leader = view.id.instance,
        term = leader.term,
        revision = view.state.configuration.revision,
        instances = leader.allInstances.map { instanceStatus(it, now, draining) },
        backends = leader.allBackends.map { backendStatus(leader, it, inFlight[it.server] ?: 0) },
        replicas = view.voters.map { it.instance }.sorted(),
        queuedLoads = leader.placement.queuedLoads,
        suspects =
            view.state.suspects.values
                .toList(),
        workspaces =
            leader.buckets.workspaceNames.sorted().mapNotNull { name ->
                leader.buckets[name]?.let { SystemStatus.WorkspaceStatus(name, it.level, it.outstanding) }
            },
    )
}

private fun instanceStatus(
    record: InstanceRecord,
    now: Duration,
    draining: Set<String>,
) = SystemStatus.InstanceStatus(
    name = record.view.name,
    zone = record.view.zone,
    address = record.view.address,
    revision = record.revision,
    draining = record.view.draining || record.view.name in draining,
    silentMillis = (now - record.lastReportAt).inWholeMilliseconds,
)

private fun backendStatus(
    leader: LeaderState,
    server: Announcement,
    inFlight: Int,
) = SystemStatus.BackendStatus(
    server = server.server,
    serves = server.serves,
    zone = server.zone,
    inFlight = inFlight,
    loaded = leader.placement.loadedOn(server.server).size,
    slots = server.slots,
    leaving = server.leaving,
)
