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
        /** Work of the server until it answers, at the time of sending; null if the time until its answer is not measured. */
        val work: Double? = null,
        /** Other requests that ran on the server at the time of sending. */
        val running: Int = 0,
        /** Start of the process that the request was sent to. */
        val processStartedAtMillis: Long = 0,
        val expiresAt: Duration,
        val isSuspect: Boolean = false,
        val priority: Int = 0,
        val request: DispatchRequest? = null,
    ) {
        /** The objects that count the request. A server that was missing for a moment returns as another object, which does not. */
        var countedBy: DispatchServer? = null
        var slot: AdapterSlot? = null
    }

    private val requests = HashMap<Pair<String, Long>, TrackedRequest>()

    val size: Int get() = requests.size

    /** Records that [request] is sent to [server] after [hold]. */
    fun recordSent(
        request: DispatchRequest,
        server: DispatchServer,
        hold: Duration,
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
                sentAt = now + hold,
                work = workUntilAnswer(request, server, now).takeIf { hold <= MAX_MEASURED_HOLD },
                running = server.runningRequests,
                processStartedAtMillis = server.report.startedAtMillis,
                expiresAt = expiresAt,
                isSuspect = request.isSuspect,
                priority = request.priority,
                request = request,
            )
        track(request.entry to request.number, server, tracked, now)
    }

    private fun workUntilAnswer(
        request: DispatchRequest,
        server: DispatchServer,
        now: Duration,
    ): Double {
        if (server.report.models == null) return server.plainWork
        val tokensAhead = server.remainingPromptTokens(now, fleet.waitPriority(request))
        return tokensAhead + request.promptTokens
    }

    /**
     * Records the requests that [entry] reports as running, after a change of leader or because it has decided on them itself. Requests
     * that are known already are skipped.
     */
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
                    workspace = request.workspace,
                    charge = request.charge,
                    pendingTokens = promptTokens,
                    kvTokens = promptTokens,
                    sentAt = now,
                    expiresAt = expiresAt,
                    priority = request.priority,
                )
            track(key, server, tracked, now)
            limits.spend(request.workspace, request.charge, now)
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
                if (tracked.pendingTokens > 0 && server != null) {
                    observe(server, tracked, now)
                    server.promptStartedAt = now
                }
                markPromptProcessed(tracked)
                confirmLoad(tracked)
            }

            RequestStep.ENDED -> {
                if (server?.report?.models == null) server?.let { observe(it, tracked, now) }
                remove(key, tracked)
                if (tracked.request != null && event.outputTokens != null) fleet.outputEstimate.observe(tracked.request, event.outputTokens)
            }

            RequestStep.NOT_RUN, RequestStep.NOT_HELD, RequestStep.UNREACHABLE -> {
                remove(key, tracked)
                limits.refund(tracked.workspace, tracked.charge)
                if (event.step == RequestStep.UNREACHABLE) server?.avoidedUntil = now + options.unreachablePause
                // An engine that is still loading the adapter need not be asked what it holds.
                if (event.step == RequestStep.NOT_HELD && !awaitLoad(tracked, now)) server?.ordersAccepted = null
            }
        }
    }

    private fun confirmLoad(tracked: TrackedRequest) {
        val slot = tracked.slot ?: return
        if (slot.unconfirmedLoad == null) return
        slot.unconfirmedLoad = null
        fleet.adapterLoadTime.recordComplete()
    }

    /** Delays further requests for the adapter of [tracked] if its load was accepted recently and has not ended; returns false if not. */
    private fun awaitLoad(
        tracked: TrackedRequest,
        now: Duration,
    ): Boolean {
        val slot = tracked.slot?.takeIf { tracked.countedBy?.adapterSlots?.get(it.adapter) === it } ?: return false
        val load = slot.unconfirmedLoad?.takeIf { now - it.at <= AdapterLoadTime.MAX_ESTIMATE * it.slowdown } ?: return false
        fleet.adapterLoadTime.recordIncomplete(load, tracked.sentAt)
        val expectedEnd = load.at + fleet.adapterLoadTime.estimate * load.slowdown
        slot.readyAt = maxOf(slot.readyAt, maxOf(expectedEnd, now) + options.loadMargin)
        return true
    }

    private fun observe(
        server: DispatchServer,
        tracked: TrackedRequest,
        now: Duration,
    ) {
        val work = tracked.work ?: return
        if (tracked.processStartedAtMillis != server.report.startedAtMillis) return
        if (fleet.answersSeldom(server)) return
        server.performance.observe(ServicePerformance.Sample(work, tracked.running, now - tracked.sentAt, now))
    }

    private fun track(
        key: Pair<String, Long>,
        server: DispatchServer,
        tracked: TrackedRequest,
        now: Duration,
    ) {
        requests[key]?.let { remove(key, it) }
        requests[key] = tracked
        tracked.countedBy = server
        server.runningRequests++
        if (tracked.isSuspect) server.runningSuspects++
        if (server.pendingPrompts == 0) server.promptStartedAt = tracked.sentAt
        if (tracked.pendingTokens > 0) server.pendingPrompts++
        server.pendingPromptTokens.add(tracked.priority, tracked.pendingTokens)
        server.kvTokens += tracked.kvTokens
        val slot = tracked.adapter?.let { server.adapterSlots[it] } ?: return
        tracked.slot = slot
        slot.inFlight++
        slot.lastUsedAt = now
    }

    private fun markPromptProcessed(tracked: TrackedRequest) {
        val server = tracked.countedBy
        if (server != null && tracked.pendingTokens > 0) {
            server.pendingPrompts--
            server.pendingPromptTokens.add(tracked.priority, -tracked.pendingTokens)
        }
        tracked.pendingTokens = 0
    }

    private fun remove(
        key: Pair<String, Long>,
        tracked: TrackedRequest,
    ) {
        markPromptProcessed(tracked)
        requests.remove(key)
        val server = tracked.countedBy ?: return
        server.runningRequests--
        if (tracked.isSuspect) server.runningSuspects--
        server.kvTokens -= tracked.kvTokens
        tracked.slot?.let { it.inFlight-- }
    }

    private companion object {
        /** Longest hold of a request whose answer is measured; later requests may be answered during a longer one. */
        val MAX_MEASURED_HOLD = 20.milliseconds

        /** Time after the deadline of a request for which its events may still arrive. */
        val EVENT_MARGIN = 1.seconds
    }
}
