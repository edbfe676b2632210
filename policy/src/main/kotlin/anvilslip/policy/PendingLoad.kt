package anvilslip.policy

import kotlin.time.Duration

/** Load of an adapter version that has not finished, with the requests waiting for it. */
internal class PendingLoad(
    val adapter: AdapterVersion,
    val model: String,
    var requestedAt: Duration,
) {
    /** Waiting requests, each with the time at which it began to wait. */
    val waiting = ArrayList<Pair<PlacementRequest, Duration>>()

    /** Removes the waiting requests that match [isRemoved] and returns them. */
    fun removeWaiting(isRemoved: (PlacementRequest) -> Boolean): List<PlacementRequest> {
        val removed = waiting.filter { isRemoved(it.first) }
        waiting.removeAll(removed)
        return removed.map { it.first }
    }
}
