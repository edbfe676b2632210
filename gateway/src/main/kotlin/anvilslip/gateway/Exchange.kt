package anvilslip.gateway

import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.SendGate
import anvilslip.policy.ServingRoute
import anvilslip.policy.ServingWorkspace
import anvilslip.policy.SseEventBuffer
import anvilslip.policy.StreamOrigin
import anvilslip.policy.StreamRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** State of one client request while it is being forwarded. */
internal class Exchange(
    val request: ClientRequest,
    val route: ServingRoute,
    service: String,
    val workspace: ServingWorkspace?,
    val configurationVersion: Long,
    val responder: HttpResponder,
    val startedAt: Duration,
    val deadline: Duration,
) {
    /** The service that runs the request. */
    var service: String = service
        private set

    /** What generated the first event of the stream; null until the client has one. */
    var origin: StreamOrigin? = null
        private set

    /** 0 is the most urgent. */
    val priority: Int get() = workspace?.priority ?: route.priority

    /** Equal for all repeats of this request, on every instance. */
    val fingerprint: String by lazy { fingerprintOf(request, workspace) }

    /** Keys under which the request may be suspected of crashing servers. */
    val suspectKeys: List<String> by lazy { suspectKeysOf(fingerprint, request) }
    val events = SseEventBuffer(request.lastEventId?.toLongOrNull())
    val excludedServers = HashSet<String>()

    /** True once the request was refused while servers were avoided, so that these have to do. */
    var acceptsAvoided = false

    /** Number of attempts in which a server may have run the request. */
    var possibleRuns = 0

    /** Gate of the attempt in progress, until it is known that the server did not run the request. */
    @Volatile
    var gate: SendGate? = null

    /** The last failure that a server answered. It is passed on if no retry succeeds. */
    private var failure: HttpResponse? = null

    /** Number of all attempts, including those that no server ran. */
    var attempts = 0

    /** True once a part of the response has been sent to the client. */
    var hasResponseStarted = false

    /** True if the client resumes a stream of which it has received events. */
    val isResumption: Boolean get() = route.resumable && (request.lastEventId != null || request.resumedAttemptId != null)

    /** True once the tokens have been charged to the workspace. */
    var isCharged = false
    var lastServer: String? = null

    /** Tokens charged to the workspace, and the times of that decision and of the first sending; null if there was none. */
    var charge = 0L
    var chargedAt: Duration? = null
    var firstSentAt: Duration? = null

    /** When the response of a server last broke off; null if none did. */
    var lastBreakAt: Duration? = null
    var lastTerm: Long? = null

    /** The record of the stream, which began at [origin] and whose first event the attempt [attemptId] delivered. */
    fun streamRecord(
        attemptId: String,
        origin: StreamOrigin,
        now: Duration,
    ): StreamRecord {
        val resumableUntil = startedAt + maxOf(request.timeout ?: route.timeout, route.timeout) + RESUME_MARGIN
        return StreamRecord(attemptId, origin, (resumableUntil - now).inWholeMilliseconds)
    }

    /** Records that the stream began at [origin], so that only servers like that one may resume it. */
    fun bindTo(origin: StreamOrigin) {
        this.origin = origin
        service = origin.service
    }

    /**
     * Cancels the current attempt. Returns true if a server may have received the request in this attempt or run it in an earlier
     * one.
     */
    fun cancelAttempt(): Boolean = gate?.tryClose() == false || possibleRuns > 0

    /** Keeps [response] in place of an earlier failure; null drops that. */
    fun replaceFailure(response: HttpResponse?) {
        failure?.memory?.close()
        failure = response
    }

    /** Returns the last failure, to be sent. */
    fun takeFailure(): HttpResponse? = failure.also { failure = null }

    private companion object {
        /** Client and instance count the time of a request from different moments. */
        val RESUME_MARGIN = 2.seconds
    }
}
