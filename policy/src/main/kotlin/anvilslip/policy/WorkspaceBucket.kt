package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Token bucket of one workspace, refilled at [rate] tokens per second up to [burst]. Not thread-safe. */
public class WorkspaceBucket(
    private var rate: Double,
    private var burst: Double,
    level: Double,
    now: Duration,
) {
    private var refilledAt = now
    private var unreportedSpent = 0.0
    private var unreportedRefunds = 0.0

    /** Tokens that may be spent now; negative while there is a debt. */
    public var level: Double = level
        private set

    /** Updates the limits. The level is capped at the new burst. */
    public fun setLimits(
        newRate: Double,
        newBurst: Double,
        now: Duration,
    ) {
        refill(now)
        rate = newRate
        burst = newBurst
        level = minOf(level, burst)
    }

    /**
     * Time to delay a request of [tokens] so that it stays within the limit; infinite while the rate is zero. A request larger than
     * the burst waits for a full bucket. [reserved] tokens are spent before.
     */
    public fun waitTime(
        tokens: Double,
        now: Duration,
        reserved: Double = 0.0,
    ): Duration {
        refill(now)
        if (rate <= 0) return Duration.INFINITE
        val missing = minOf(tokens, burst) + reserved - level
        return if (missing <= 0) Duration.ZERO else (missing / rate).seconds
    }

    /** Spends [tokens]. The level may become negative; later requests wait until the debt is refilled. */
    public fun spend(
        tokens: Double,
        now: Duration,
    ) {
        refill(now)
        level -= tokens
        unreportedSpent += tokens
    }

    /** Spends [tokens] that another bucket has granted, down to a debt of [maxDebt]. They do not count as usage of this bucket. */
    public fun spendGranted(
        tokens: Double,
        maxDebt: Double,
        now: Duration,
    ) {
        refill(now)
        level = maxOf(level - tokens, -maxDebt)
    }

    /** Refunds [tokens] of a request that did not run. */
    public fun refund(tokens: Double) {
        level = minOf(burst, level + tokens)
        unreportedRefunds += tokens
    }

    /** Returns the tokens of [workspace] spent and refunded since the last call, or null if there were none. */
    public fun takeUsage(workspace: String): LimitUsage? {
        if (unreportedSpent == 0.0 && unreportedRefunds == 0.0) return null
        val usage = LimitUsage(workspace, rate, level, unreportedSpent.toLong(), unreportedRefunds.toLong())
        unreportedSpent = 0.0
        unreportedRefunds = 0.0
        return usage
    }

    private fun refill(now: Duration) {
        level = minOf(burst, level + rate * (now - refilledAt).toDouble(DurationUnit.SECONDS))
        refilledAt = now
    }
}
