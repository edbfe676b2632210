package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tracks the requests in flight and their share of the load of each server and adapter slot. */
internal class RequestTracker(
    private val fleet: DispatchFleet,
    private val limits: WorkspaceLimits,
    private val options: DispatchOptions,
) {
    private class TrackedRequest(
        val server: String,
        val adapter: String?,
        val workspace: String?,
        val charge: Long,
        var pendingTokens: Int,
        val kvTokens: Int,
        val sentAt: Duration,
        val expiresAt: Duration,
        val isSuspect: Boolean = false,
        val priority: Int = 0,
        val request: DispatchRequest? = null,
    )

    private val requests = HashMap<Pair<String, Long>, TrackedRequest>()

    val size: Int get() = requests.size

    /** Records that [request] is sent to [server]. */
    fun recordSent(
        request: DispatchRequest,
        server: DispatchServer,
        now: Duration,
    ) {
        val expiresAt = now + request.remainingMillis.milliseconds + EVENT_MARGIN
        val promptTokens = request.promptTokens
        val tracked =
            TrackedRequest(
                server = server.report.id,
                adapter = request.adapter,
                workspace = request.workspace,
                charge = request.charge,
                pendingTokens = promptTokens,
                kvTokens = fleet.kvUse(request),
                sentAt = now,
                expiresAt = expiresAt,
                isSuspect = request.isSuspect,
                priority = request.priority,
                request = request,
            )
        track(request.entry to request.number, server, tracked, now)
    }

    /** Restores the requests that [entry] reports as running. Requests that are known already are skipped. */
    fun restoreRequests(
        entry: String,
        running: List<RunningRequest>,
        now: Duration,
    ) {
        for (request in running) {
            val server = fleet[request.server] ?: continue
            val key = entry to request.number
            if (key in requests) continue
            val expiresAt = now + request.remainingMillis.milliseconds + EVENT_MARGIN
            val promptTokens = request.promptTokens
            val tracked =
                TrackedRequest(
                    server = request.server,
                    adapter = request.adapter,
                    workspace = null,
                    charge = 0,
                    pendingTokens = promptTokens,
                    kvTokens = promptTokens,
                    sentAt = now,
                    expiresAt = expiresAt,
                    priority = request.priority,
                )
            track(key, server, tracked, now)
        }
    }

    /** Removes requests whose deadline has passed and whose end was not reported. */
    fun expire(now: Duration) {
        for ((key, tracked) in requests.filterValues { now >= it.expiresAt }) remove(key, tracked)
    }

    /** Applies an event of a request of [entry]; events of unknown requests are ignored. */
    fun applyEvent(
        entry: String,
        event: RequestEvent,
        now: Duration,
    ) {
        val key = entry to event.number
        val tracked = requests[key] ?: return
        val server = fleet[tracked.server]
        when (event.step) {
            RequestStep.ANSWERING -> {
                server?.let { observePrefill(it, tracked, now) }
                markPromptProcessed(tracked)
            }

            RequestStep.ENDED -> {
                remove(key, tracked)
                if (tracked.request != null && event.outputTokens != null) fleet.outputEstimate.observe(tracked.request, event.outputTokens)
            }

            RequestStep.NOT_RUN, RequestStep.NOT_HELD, RequestStep.UNREACHABLE -> {
                remove(key, tracked)
                limits.refund(tracked.workspace, tracked.charge)
                if (event.step == RequestStep.UNREACHABLE) server?.avoidedUntil = now + options.unreachablePause
                if (event.step == RequestStep.NOT_HELD) server?.ordersAccepted = null
            }
        }
    }

    private fun observePrefill(
        server: DispatchServer,
        tracked: TrackedRequest,
        now: Duration,
    ) {
        val from = maxOf(tracked.sentAt, server.lastAnswerAt)
        server.lastAnswerAt = now
        if (tracked.pendingTokens > 0 && now > from) fleet.speed(server.report.service).observe(tracked.pendingTokens, now - from)
    }

    private fun track(
        key: Pair<String, Long>,
        server: DispatchServer,
        tracked: TrackedRequest,
        now: Duration,
    ) {
        requests[key]?.let { remove(key, it) }
        requests[key] = tracked
        server.runningRequests++
        if (tracked.isSuspect) server.runningSuspects++
        server.pendingPromptTokens.add(tracked.priority, tracked.pendingTokens)
        server.kvTokens += tracked.kvTokens
        val slot = tracked.adapter?.let { server.adapterSlots[it] } ?: return
        slot.inFlight++
        slot.lastUsedAt = now
    }

    private fun markPromptProcessed(tracked: TrackedRequest) {
        fleet[tracked.server]?.let { it.pendingPromptTokens.add(tracked.priority, -tracked.pendingTokens) }
        tracked.pendingTokens = 0
    }

    private fun remove(
        key: Pair<String, Long>,
        tracked: TrackedRequest,
    ) {
        markPromptProcessed(tracked)
        requests.remove(key)
        val server = fleet[tracked.server] ?: return
        server.runningRequests--
        if (tracked.isSuspect) server.runningSuspects--
        server.kvTokens -= tracked.kvTokens
        tracked.adapter?.let { server.adapterSlots[it] }?.let { it.inFlight-- }
    }

    private companion object {
        /** Time after the deadline of a request for which its events may still arrive. */
        val EVENT_MARGIN = 1.seconds
    }
}
