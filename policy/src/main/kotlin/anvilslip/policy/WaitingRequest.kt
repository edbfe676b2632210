package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request in an [AdmissionQueue]. [request] is as its entry instance last stated it, at [askedAt]. */
internal class WaitingRequest(
    var request: DispatchRequest,
    var askedAt: Duration,
    /** Time at which the request joined the queue. */
    val since: Duration,
    val sequence: Long,
    /** Prompt tokens and the equivalent of the expected output. */
    val work: Int,
    prefillTime: Duration,
) {
    val key = RequestKey(request.entry, request.number)
    val priority = PendingTokens.index(request.priority)
    val workspace = request.workspace.orEmpty()
    val target = request.targetMillis.milliseconds.coerceAtLeast(MIN_TARGET)
    val targetAt = askedAt + request.targetMillis.milliseconds
    val deadlineAt = askedAt + request.remainingMillis.milliseconds

    /** Latest start with which the answer begins within the target. */
    val latestStartAt = targetAt - prefillTime

    /** Latest start with which the answer begins before the deadline. */
    val latestUsefulStartAt = deadlineAt - prefillTime

    /** True while the entry instance waits for an answer. */
    var hasPendingCall = true
    var answerAt = Duration.ZERO
    var heldUntil = Duration.ZERO
    var nextTryAt = Duration.ZERO
    var failures = 0
    var isLate = false

    /** Work per remaining millisecond until the deadline; orders late requests. Updated whenever the entry instance asks. */
    var urgencyCost = 0.0

    /** The request as it is at [now]. */
    fun requestAt(now: Duration): DispatchRequest = request.after(now - askedAt)

    private companion object {
        val MIN_TARGET = 200.milliseconds
    }
}

/** This request after [waited] more time has passed. */
internal fun DispatchRequest.after(waited: Duration): DispatchRequest {
    val millis = waited.inWholeMilliseconds
    return copy(targetMillis = targetMillis - millis, remainingMillis = remainingMillis - millis)
}
