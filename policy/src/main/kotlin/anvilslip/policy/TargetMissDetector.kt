package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Detects when a service class misses its wait target: within the last [window], more than [allowedShare] of at least
 * [minRequests] requests waited longer than the target or were refused because of it. Not thread-safe.
 */
public class TargetMissDetector(
    private val window: Duration = DEFAULT_WINDOW,
    private val allowedShare: Double = DEFAULT_SHARE,
    private val minRequests: Int = DEFAULT_MIN_REQUESTS,
) {
    private class Sample(
        val at: Duration,
        val missedBecause: String?,
    )

    private val samples = ArrayDeque<Sample>()
    private var missed = 0

    /** True while the service class misses its target. */
    public var isMissingTarget: Boolean = false
        private set

    /** Share of requests in the window that missed the target. */
    public val missedShare: Double get() = if (samples.isEmpty()) 0.0 else missed.toDouble() / samples.size

    /** The most frequent cause of misses in the window; null without misses. */
    public val cause: String?
        get() =
            samples
                .mapNotNull { it.missedBecause }
                .groupingBy { it }
                .eachCount()
                .maxByOrNull { it.value }
                ?.key

    /**
     * Records a request.
     *
     * @param missedBecause the cause if the request missed the target, or null if it met the target
     * @return true if [isMissingTarget] changed
     */
    public fun record(
        missedBecause: String?,
        now: Duration,
    ): Boolean {
        samples.addLast(Sample(now, missedBecause))
        if (missedBecause != null) missed++
        return update(now)
    }

    /** Removes requests that left the window. Returns true if [isMissingTarget] changed. */
    public fun update(now: Duration): Boolean {
        while (samples.isNotEmpty() && now - samples.first().at > window) {
            if (samples.removeFirst().missedBecause != null) missed--
        }
        val before = isMissingTarget
        isMissingTarget = samples.size >= minRequests && missedShare > allowedShare
        return isMissingTarget != before
    }

    private companion object {
        val DEFAULT_WINDOW = 10.seconds
        const val DEFAULT_SHARE = 0.05
        const val DEFAULT_MIN_REQUESTS = 5
    }
}
