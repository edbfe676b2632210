package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Time that passes only while control instances answer. Reports of backend servers arrive through control instances, so while none
 * answers, the absence of reports does not mean that the servers are down. Not thread-safe.
 */
public class ContactClock {
    private var lastAnswerAt: Duration? = null
    private var lost = Duration.ZERO

    /** Records at [now] that a control instance has answered. */
    public fun recordAnswer(now: Duration) {
        lost += silence(now)
        lastAnswerAt = now
    }

    /** The time at [now], without the times in which no control instance answered; [now] itself before the first answer. */
    public fun time(now: Duration): Duration = now - lost - silence(now)

    private fun silence(now: Duration): Duration = lastAnswerAt?.let { (now - it - GRACE).coerceAtLeast(Duration.ZERO) } ?: Duration.ZERO

    private companion object {
        /** Control instances answer about once a second; longer than that, so that time is not lost while they do. */
        val GRACE = 2.seconds
    }
}
