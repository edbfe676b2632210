package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A kind of request in a [DispatchTrial]: its share of the traffic, its mean sizes in tokens, and what its answers are worth. */
public data class TrialKind(
    val share: Double,
    /** Number of shared prompt prefixes. */
    val variants: Int,
    val sharedTokens: Int,
    val ownTokens: Int,
    val outputTokens: Int,
    val worth: Double,
    val timeout: Duration,
    /** 0 is the most urgent. */
    val priority: Int = 0,
    /** Null for the target of the trial. */
    val target: Duration? = null,
    /** Share of [worth] that an answer after the target is worth. */
    val lateShare: Double = 0.3,
    /** Whether clients state how many output tokens they expect, correct at the median. */
    val hasLengthHint: Boolean = false,
) {
    public companion object {
        /** Kinds of one priority. */
        public val DEFAULT: List<TrialKind> =
            listOf(
                TrialKind(0.70, variants = 69, sharedTokens = 568, ownTokens = 1_800, outputTokens = 22, worth = 2.3, timeout = 5.seconds),
                TrialKind(0.10, variants = 2, sharedTokens = 568, ownTokens = 1_800, outputTokens = 22, worth = 2.3, timeout = 8.seconds),
                TrialKind(
                    0.20,
                    variants = 13,
                    sharedTokens = 350,
                    ownTokens = 1_110,
                    outputTokens = 172,
                    worth = 3.0,
                    timeout = 15.seconds,
                ),
            )

        /** Kinds of three priorities, in the proportion, with the values, targets and deadlines of a deployment of 98 engines. */
        public val BY_PRIORITY: List<TrialKind> =
            listOf(
                TrialKind(0.66, 69, 568, 1_800, 22, 1.6, 5.seconds, priority = 1, 1.seconds, lateShare = 0.46 / 1.6, hasLengthHint = true),
                TrialKind(
                    0.14,
                    2,
                    568,
                    1_800,
                    22,
                    0.79,
                    20.seconds,
                    priority = 2,
                    2.seconds,
                    lateShare = 0.35 / 0.79,
                    hasLengthHint = true,
                ),
                TrialKind(0.20, 13, 350, 1_110, 172, 3.8, 15.seconds, 0, 800.milliseconds, lateShare = 0.46 / 3.8, hasLengthHint = true),
            )
    }
}
