package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRequest
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Logs and counts the leader's decisions. Logs at most [MAX_LINES_PER_SECOND] lines a second, and then how many were left out. */
internal class AdmissionLog(
    private val metrics: AdmissionMetrics?,
    private val clock: Clock,
) {
    private val log = EventLogger("dispatch")
    private val lock = Any()
    private val recordedPriorities = ConcurrentHashMap.newKeySet<Int>()
    private var secondBeganAt = Duration.ZERO
    private var lines = 0
    private var omitted = 0

    /** Records [decision] on [request], which has waited for [waited] since this instance received the question. */
    fun record(
        request: DispatchRequest,
        decision: DispatchDecision,
        waited: Duration,
    ) {
        val priority = request.priority.coerceIn(0, MAX_PRIORITY).toString()
        if (decision is DispatchDecision.Send) metrics?.waitTime?.labelValues(priority)?.observe(waited.toDouble(DurationUnit.SECONDS))
        if (decision is DispatchDecision.Refuse) metrics?.refusals?.labelValues(decision.reason.name.lowercase(), priority)?.inc()
        if (!mayLog()) return
        val refusal = decision as? DispatchDecision.Refuse
        log.info(
            "admission",
            "entry" to request.entry,
            "number" to request.number,
            "priority" to request.priority,
            "adapter" to request.adapter,
            "decision" to nameOf(decision),
            "server" to (decision as? DispatchDecision.Send)?.server,
            "reason" to refusal?.reason?.name?.lowercase(),
            "retry_ms" to refusal?.retryMillis,
            "waited_ms" to waited.inWholeMilliseconds,
        )
    }

    /** Records the number of waiting requests by priority. */
    fun recordWaiting(sizes: Map<Int, Int>) {
        recordedPriorities += sizes.keys
        for (priority in recordedPriorities) metrics?.waiting?.labelValues(priority.toString())?.set((sizes[priority] ?: 0).toDouble())
    }

    private fun nameOf(decision: DispatchDecision): String =
        when (decision) {
            is DispatchDecision.Send -> "send"
            is DispatchDecision.Refuse -> "refuse"
            DispatchDecision.Wait -> "wait"
        }

    private fun mayLog(): Boolean {
        val omittedBefore =
            synchronized(lock) {
                val now = clock.elapsed()
                if (now - secondBeganAt < 1.seconds) {
                    if (lines < MAX_LINES_PER_SECOND) lines++ else omitted++
                    return omitted == 0
                }
                secondBeganAt = now
                lines = 1
                omitted.also { omitted = 0 }
            }
        if (omittedBefore > 0) log.info("admissions_not_logged", "count" to omittedBefore)
        return true
    }

    private companion object {
        const val MAX_LINES_PER_SECOND = 100
        const val MAX_PRIORITY = 15
    }
}
