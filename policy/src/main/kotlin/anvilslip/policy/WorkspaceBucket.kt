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
    public fun updateLimits(
        newRate: Double,
        newBurst: Double,
        now: Duration,
    ) {
        refill(now)
        rate = newRate
        burst = newBurst
        level = minOf(level, burst)
    }

    /** How long a request of [tokens] must be held back so that it stays within the limit; one larger than the burst needs a full bucket. */
    public fun waitTime(
        tokens: Double,
        now: Duration,
    ): Duration {
        refill(now)
        val missing = minOf(tokens, burst) - level
        return if (missing <= 0) Duration.ZERO else (missing / rate).seconds
    }

    /** Spends [tokens], which may leave a debt that later requests wait for. */
    public fun spend(
        tokens: Double,
        now: Duration,
    ) {
        refill(now)
        level -= tokens
    }

    /** Gives back [tokens] of a request that did not run. */
    public fun refund(tokens: Double) {
        level = minOf(burst, level + tokens)
    }

    private fun refill(now: Duration) {
        level = minOf(burst, level + rate * (now - refilledAt).toDouble(DurationUnit.SECONDS))
        refilledAt = now
    }
}
