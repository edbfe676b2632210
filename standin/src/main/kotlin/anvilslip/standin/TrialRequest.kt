package anvilslip.standin

import anvilslip.policy.DispatchRefusal
import kotlin.time.Duration

/** A client request in a [DispatchTrial], including its retries. */
internal class TrialRequest(
    val arrivedAt: Duration,
    val kind: Int,
    val workspace: Int,
    val zone: String,
    val adapter: String?,
    val parts: List<Pair<String, Int>>,
    val outputTokens: Int,
    val worth: Double,
    val deadline: Duration,
    /** Maximum number of retries after a refusal. */
    val retries: Int,
    /** Whether the client retries without honoring the retry delay of the refusal. */
    val isImpatient: Boolean,
    val priority: Int,
    val target: Duration,
    val lateShare: Double,
    val lengthHint: Int?,
) {
    val promptTokens: Int = parts.sumOf { it.second }
    val charge: Long = (promptTokens + outputTokens).toLong()
    var refusals = 0
    var lastRefusal: DispatchRefusal? = null
    var isOverLimit = false
    var answeredAt: Duration? = null
}
