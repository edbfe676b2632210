package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Number of questions to the leader that an entry instance may have unanswered. Grows by one with as many answers in time as it allows
 * questions, and is halved by a late answer, so that all instances together ask no more than the leader can answer in time. Not thread-safe.
 */
public class QuestionWindow {
    private var limit = INITIAL_QUESTIONS
    private var halvedAt = -LATE_ANSWER

    /** Number of questions that may be unanswered. */
    public val size: Int get() = limit.toInt()

    /** Records that the leader took [time] until [now] to answer a question, or that it has not answered for so long. */
    public fun recordAnswer(
        time: Duration,
        now: Duration,
    ) {
        if (time <= LATE_ANSWER) {
            limit = minOf(limit + 1 / limit, MAX_QUESTIONS)
        } else if (now - halvedAt >= LATE_ANSWER) {
            // Questions that were asked before the window was halved are late as well.
            halvedAt = now
            limit = maxOf(limit / 2, MIN_QUESTIONS)
        }
    }

    private companion object {
        /** Longer than a request waits at the leader for a free adapter slot. */
        val LATE_ANSWER = 150.milliseconds
        const val MIN_QUESTIONS = 1.0
        const val INITIAL_QUESTIONS = 2.0
        const val MAX_QUESTIONS = 256.0
    }
}
