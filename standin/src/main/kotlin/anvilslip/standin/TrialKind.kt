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
                longPrompt(share = 0.70, variants = 69, worth = 2.3, timeout = 5.seconds),
                longPrompt(share = 0.10, variants = 2, worth = 2.3, timeout = 8.seconds),
                longAnswer(share = 0.20, variants = 13, worth = 3.0, timeout = 15.seconds),
            )

        /** Kinds of three priorities, the most urgent of which has the most valuable answers and the shortest target. */
        public val BY_PRIORITY: List<TrialKind> =
            listOf(
                longPrompt(share = 0.66, variants = 69, worth = 1.6, timeout = 5.seconds)
                    .copy(priority = 1, target = 1.seconds, lateShare = 0.46 / 1.6, hasLengthHint = true),
                longPrompt(share = 0.14, variants = 2, worth = 0.79, timeout = 20.seconds)
                    .copy(priority = 2, target = 2.seconds, lateShare = 0.35 / 0.79, hasLengthHint = true),
                longAnswer(share = 0.20, variants = 13, worth = 3.8, timeout = 15.seconds)
                    .copy(priority = 0, target = 800.milliseconds, lateShare = 0.46 / 3.8, hasLengthHint = true),
            )

        /** Mean sizes of a kind with long prompts and short answers, in tokens. */
        private const val LONG_PROMPT_SHARED_TOKENS = 568
        private const val LONG_PROMPT_OWN_TOKENS = 1_800
        private const val LONG_PROMPT_OUTPUT_TOKENS = 22

        /** Mean sizes of a kind with shorter prompts and long answers, in tokens. */
        private const val LONG_ANSWER_SHARED_TOKENS = 350
        private const val LONG_ANSWER_OWN_TOKENS = 1_110
        private const val LONG_ANSWER_OUTPUT_TOKENS = 172

        private fun longPrompt(
            share: Double,
            variants: Int,
            worth: Double,
            timeout: Duration,
        ) = TrialKind(
            share,
            variants,
            LONG_PROMPT_SHARED_TOKENS,
            LONG_PROMPT_OWN_TOKENS,
            LONG_PROMPT_OUTPUT_TOKENS,
            worth,
            timeout,
        )

        private fun longAnswer(
            share: Double,
            variants: Int,
            worth: Double,
            timeout: Duration,
        ) = TrialKind(
            share,
            variants,
            LONG_ANSWER_SHARED_TOKENS,
            LONG_ANSWER_OWN_TOKENS,
            LONG_ANSWER_OUTPUT_TOKENS,
            worth,
            timeout,
        )
    }
}
