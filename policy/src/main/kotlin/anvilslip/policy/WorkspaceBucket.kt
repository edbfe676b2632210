package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Tokens of one workspace that flow in at a rate, up to a burst. Not thread-safe. */
public class WorkspaceBucket(
    private var rate: Double,
    private var burst: Double,
    level: Double,
    now: Duration,
) {
    private var refilledAt = now

    /** Tokens that may be spent now. */
    public var level: Double = level
        private set

    /** Takes over changed limits; the level never exceeds the new burst. */
    public fun limit(
        newRate: Double,
        newBurst: Double,
        now: Duration,
    ) {
        refill(now)
        rate = newRate
        burst = newBurst
        level = minOf(level, burst)
    }

    /** Spends [tokens] if so many are there. A request larger than the burst passes when the bucket is full. */
    public fun spend(
        tokens: Double,
        now: Duration,
    ): Boolean {
        refill(now)
        if (level < minOf(tokens, burst)) return false
        level -= tokens
        return true
    }

    /** Gives back [tokens] of a request that did not run. */
    public fun refund(tokens: Double) {
        level = minOf(burst, level + tokens)
    }

    /** When [tokens] will be there. */
    public fun wait(tokens: Double): Duration {
        val missing = minOf(tokens, burst) - level
        return if (missing <= 0) Duration.ZERO else (missing / rate).seconds
    }

    private fun refill(now: Duration) {
        level = minOf(burst, level + rate * (now - refilledAt).toDouble(DurationUnit.SECONDS))
        refilledAt = now
    }
}
