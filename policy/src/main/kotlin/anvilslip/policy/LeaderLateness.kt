package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tells whether the leader has lately taken so long to answer that an entry instance should decide itself what it can. After a late answer
 * the leader gets no such question for some times as long as that answer took; the next one then shows whether it is still late. So a
 * leader gets the fewer questions the later it is. Thread-safe.
 */
public class LeaderLateness {
    private var isLate = false

    /** When a question is asked next to find out whether the leader is still late. */
    private var nextProbeAt = Duration.ZERO

    /** True if the last answer was late. */
    @Synchronized
    public fun isLate(): Boolean = isLate

    /** True if the leader may be asked at [now] what an entry instance can decide itself. */
    @Synchronized
    public fun mayAsk(now: Duration): Boolean {
        if (!isLate) return true
        if (now < nextProbeAt) return false
        nextProbeAt = now + PROBE_TIME
        return true
    }

    /** Records that the leader has taken [time] until [now] for an answer for which it had to wait for nobody, or has given none. */
    @Synchronized
    public fun recordAnswer(
        time: Duration,
        now: Duration,
    ) {
        isLate = time > PROMPT_ANSWER
        nextProbeAt = now + (time * PAUSE_FACTOR).coerceAtMost(MAX_PAUSE)
    }

    private companion object {
        /** Longest time of an answer in time: a tenth of a usual target. */
        val PROMPT_ANSWER = 100.milliseconds

        /** Pause after a late answer, in times of that answer. */
        const val PAUSE_FACTOR = 4
        val MAX_PAUSE = 2.seconds

        /** Time in which the answer to a single question is awaited; longer than a call may take. */
        val PROBE_TIME = 500.milliseconds
    }
}
