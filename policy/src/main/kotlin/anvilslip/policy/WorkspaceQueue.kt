package anvilslip.policy

import java.util.TreeSet

/** The waiting requests of one workspace and priority. */
internal class WorkspaceQueue(
    val name: String,
) {
    /** Tokens placed, divided by the weight of the workspace; the workspace with the lowest value is served next. */
    var virtualTime = 0.0

    /** Weight of the workspace when its first member joined; a later configuration applies once no member is left. */
    var weight = 1.0

    /** Work of all members. */
    var waitingWork = 0L

    /** All requests that wait, in the order in which they would be served. */
    val members = TreeSet(SERVICE_ORDER)

    /** Members that cannot meet their target any more, by the time at which they joined the queue. */
    val lateByAge = TreeSet(compareBy<WaitingRequest> { it.sequence })

    /**
     * The member to evict from a full queue: the youngest late request, or the last in service order. Evicting by most work would
     * always hit the largest prompts.
     */
    val last: WaitingRequest get() = lateByAge.lastOrNull() ?: members.last()

    /** Work of all members divided by [weight], which competing workspaces get through in the same time. */
    val normalizedWork: Double get() = waitingWork / weight

    fun add(request: WaitingRequest) {
        members += request
        if (request.isLate) lateByAge += request
    }

    fun remove(request: WaitingRequest): Boolean {
        lateByAge -= request
        return members.remove(request)
    }

    /** Members that can be tried now and can still meet their target. */
    val onTime = TreeSet(SERVICE_ORDER)

    /** Members that can be tried now but cannot meet their target any more. */
    val late = TreeSet(SERVICE_ORDER)

    companion object {
        /** Requests that can meet their target by target, then the others by work per remaining time. */
        val SERVICE_ORDER: Comparator<WaitingRequest> =
            Comparator { a, b ->
                when {
                    a.isLate != b.isLate -> a.isLate.compareTo(b.isLate)
                    a.isLate && a.urgencyCost != b.urgencyCost -> a.urgencyCost.compareTo(b.urgencyCost)
                    !a.isLate && a.targetAt != b.targetAt -> a.targetAt.compareTo(b.targetAt)
                    else -> a.sequence.compareTo(b.sequence)
                }
            }
    }
}
