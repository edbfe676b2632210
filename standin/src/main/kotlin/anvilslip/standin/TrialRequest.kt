package anvilslip.standin

import kotlin.time.Duration

/** A request of a client in a [DispatchTrial], over all its attempts. */
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
    /** How often the client comes back after a refusal. */
    val retries: Int,
    /** It comes back without waiting as it was told to. */
    val isImpatient: Boolean,
) {
    val promptTokens: Int = parts.sumOf { it.second }
    val charge: Long = (promptTokens + outputTokens).toLong()
    var refusals = 0
    var isOverLimit = false
    var answeredAt: Duration? = null
}
