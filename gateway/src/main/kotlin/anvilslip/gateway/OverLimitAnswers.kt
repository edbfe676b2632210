package anvilslip.gateway

import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Workspaces that were over their limits when the leader answered last, with the time at which it expects room. Thread-safe. */
internal class OverLimitAnswers {
    private class OverLimit(
        val until: Duration,
        val charge: Long,
        val term: Long?,
    )

    private val byWorkspace = ConcurrentHashMap<String, OverLimit>()

    /** Records the answer [result] of the leader on [request]. */
    fun record(
        request: DispatchRequest,
        result: AdmissionClient.Result,
        now: Duration,
    ) {
        val workspace = request.workspace ?: return
        val refusal = result.decision as? DispatchDecision.Refuse
        if (refusal?.reason == DispatchRefusal.OVER_LIMIT) {
            byWorkspace[workspace] = OverLimit(now + refusal.retryMillis.milliseconds, request.charge, result.term)
        } else if (refusal == null) {
            byWorkspace -= workspace
        }
    }

    /** The refusal of [request] if the leader has lately refused one of the workspace that was no larger, or null. */
    fun refusalOf(
        request: DispatchRequest,
        now: Duration,
    ): AdmissionClient.Result? {
        val known = byWorkspace[request.workspace ?: return null] ?: return null
        if (now >= known.until || request.charge < known.charge) return null
        val retryMillis = (known.until - now).inWholeMilliseconds.coerceAtLeast(1)
        return AdmissionClient.Result(DispatchDecision.Refuse(DispatchRefusal.OVER_LIMIT, retryMillis), known.term)
    }
}
