package anvilslip.policy

import java.util.TreeSet

/** The waiting requests of one priority, served by weighted fair queueing over workspaces. */
internal class PriorityQueueLevel(
    private val weightOf: (String) -> Double,
) {
    private val byVirtualTime = compareBy<WorkspaceQueue>({ it.virtualTime }, { it.name })
    private val workspaces = HashMap<String, WorkspaceQueue>()
    private val withOnTime = TreeSet(byVirtualTime)
    private val withLate = TreeSet(byVirtualTime)
    private var virtualTime = 0.0

    /** Number of requests that wait. */
    var size = 0
        private set

    /** Work of all requests that wait. */
    var work = 0L
        private set

    /** Sum of the weights of workspaces with waiting requests. */
    private var backloggedWeight = 0.0

    /** Work that is started before that of a new request of [workspace], which other workspaces delay only by their fair share. */
    fun workAhead(workspace: String): Double {
        val own = workspaces[workspace]?.takeIf { it.members.isNotEmpty() } ?: return 0.0
        return minOf(work.toDouble(), own.normalizedWork * backloggedWeight)
    }

    /** The request to try next, or null if none can be tried now. */
    fun first(): WaitingRequest? = withOnTime.firstOrNull()?.onTime?.first() ?: withLate.firstOrNull()?.late?.first()

    /** The request that would be served last. */
    fun last(): WaitingRequest? {
        val backlogged = workspaces.values.filter { it.members.isNotEmpty() }
        val latest = backlogged.maxWithOrNull(compareBy({ it.virtualTime + it.normalizedWork }, { it.name }))
        return latest?.last
    }

    fun add(request: WaitingRequest) {
        val workspace = workspaces.getOrPut(request.workspace) { WorkspaceQueue(request.workspace) }
        if (workspace.members.isEmpty()) {
            workspace.virtualTime = maxOf(workspace.virtualTime, virtualTime)
            workspace.weight = weightOf(request.workspace)
            backloggedWeight += workspace.weight
        }
        workspace.add(request)
        workspace.waitingWork += request.work
        size++
        work += request.work
    }

    fun remove(request: WaitingRequest) {
        disable(request)
        val workspace = workspaces.getValue(request.workspace)
        if (!workspace.remove(request)) return
        workspace.waitingWork -= request.work
        size--
        work -= request.work
        if (workspace.members.isNotEmpty()) return
        backloggedWeight = if (size == 0) 0.0 else backloggedWeight - workspace.weight
        if (workspace.virtualTime <= virtualTime) workspaces.remove(workspace.name)
    }

    /** Lets [request] be tried. */
    fun enable(request: WaitingRequest) {
        val workspace = workspaces.getValue(request.workspace)
        if (request.isLate) {
            workspace.late += request
            withLate += workspace
        } else {
            workspace.onTime += request
            withOnTime += workspace
        }
    }

    /** Excludes [request] from being tried, until it is enabled again. */
    fun disable(request: WaitingRequest) {
        val workspace = workspaces[request.workspace] ?: return
        if (workspace.onTime.remove(request) && workspace.onTime.isEmpty()) withOnTime -= workspace
        if (workspace.late.remove(request) && workspace.late.isEmpty()) withLate -= workspace
    }

    /** Charges [request], which is placed, to its workspace. */
    fun charge(request: WaitingRequest) {
        val workspace = workspaces.getValue(request.workspace)
        withOnTime -= workspace
        withLate -= workspace
        virtualTime = maxOf(virtualTime, workspace.virtualTime)
        workspace.virtualTime += request.work / workspace.weight
        if (workspace.onTime.isNotEmpty()) withOnTime += workspace
        if (workspace.late.isNotEmpty()) withLate += workspace
        if (workspaces.size > MAX_IDLE_WORKSPACES) workspaces.values.removeIf { it.members.isEmpty() && it.virtualTime <= virtualTime }
    }

    /** Changes fields of [request] that determine its position by [change]. */
    fun reorder(
        request: WaitingRequest,
        change: () -> Unit,
    ) {
        val workspace = workspaces.getValue(request.workspace)
        val wasEnabled = request in workspace.onTime || request in workspace.late
        disable(request)
        workspace.remove(request)
        change()
        workspace.add(request)
        if (wasEnabled) enable(request)
    }

    private companion object {
        const val MAX_IDLE_WORKSPACES = 4096
    }
}
