package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Token bucket of a workspace. It is kept by a single owner, which grants tokens to the instances that spend them.
 *
 * Invariant: [level] plus [outstanding] is at most [burst]. All tokens spent in a window of length t were either outstanding at its
 * start or granted within it, so all instances together spend at most burst + rate x t.
 *
 * Checkpoints cover the failure of the owner: it grants at most [allowance] tokens beyond the last committed checkpoint, so the
 * next owner can start from that checkpoint without waiting.
 */
public class TokenBucket(
    private var rate: Double,
    private var burst: Double,
    now: Duration,
    start: CheckpointBounds? = null,
    private val epochs: () -> Long,
) {
    private val ledgers = HashMap<String, GrantLedger>()
    private var inheritedOutstanding = start?.outstanding?.coerceAtMost(burst) ?: 0.0
    private val inheritedUntil = now + GRANT_LIFETIME
    private var refilledAt = now
    private var grantedSinceCheckpoint = 0.0

    /** Tokens available for grants, which are additionally limited by [allowance]. */
    public var level: Double = (start?.level ?: burst).coerceIn(0.0, burst - inheritedOutstanding)
        private set

    /** Tokens that may be granted before another checkpoint must be committed. */
    public var allowance: Double = 0.0
        private set

    /** Tokens granted by this owner or the previous one that are not known to be spent or returned. */
    public val outstanding: Double get() = inheritedOutstanding + ledgers.values.sumOf { it.outstanding }

    /** Updates the limits. A smaller burst takes effect immediately. */
    public fun setLimits(
        newRate: Double,
        newBurst: Double,
        now: Duration,
    ) {
        refill(now)
        rate = newRate
        burst = newBurst
        clampLevel()
    }

    /** Grants up to [wanted] tokens to [instance], or none if fewer than [needed] are available. */
    public fun grant(
        instance: String,
        needed: Double,
        wanted: Double,
        now: Duration,
    ): Grant {
        refill(now)
        val ledger = ledgers.getOrPut(instance) { GrantLedger(epochs(), now) }
        val tokens = minOf(wanted, level, allowance)
        if (tokens < needed) return Grant(ledger.epoch, 0.0, waitTime(needed).inWholeMilliseconds)
        level -= tokens
        allowance -= tokens
        grantedSinceCheckpoint += tokens
        ledger.recordGrant(tokens, now)
        assertInvariant()
        return Grant(ledger.epoch, tokens)
    }

    /** True if a checkpoint is all that is missing for a grant of [needed] tokens. */
    public fun needsCheckpoint(needed: Double): Boolean = allowance < needed && level >= needed

    /** Applies the running totals that [instance] reports. Reports of another epoch are ignored. */
    public fun applyUsage(
        instance: String,
        usage: Usage,
        now: Duration,
    ) {
        refill(now)
        val ledger = ledgers[instance]?.takeIf { it.epoch == usage.epoch } ?: return
        level += ledger.applyUsage(usage)
        clampLevel()
        assertInvariant()
    }

    /**
     * Creates a checkpoint that allows grants of at least [needed] tokens once it is replicated and passed to [commitCheckpoint].
     * A small chunk needs more checkpoints; a large chunk withholds more tokens from the next owner. The tokens granted within
     * the lifetime of a grant are used as a compromise.
     */
    public fun checkpoint(
        now: Duration,
        needed: Double = 0.0,
    ): CheckpointBounds {
        refill(now)
        val recentTokens = ledgers.values.sumOf { it.recentTokens }
        val chunk = minOf(level, maxOf(needed, recentTokens.coerceIn(burst * MIN_CHUNK_SHARE, burst * MAX_CHUNK_SHARE)))
        grantedSinceCheckpoint = 0.0
        return CheckpointBounds(level - chunk, (outstanding + chunk).coerceAtMost(burst), chunk)
    }

    /** Records that [start], the latest checkpoint, is replicated, and allows grants up to it. */
    public fun commitCheckpoint(start: CheckpointBounds) {
        allowance = maxOf(0.0, start.chunk - grantedSinceCheckpoint)
    }

    /** Expected time until [needed] tokens are available; infinite if they exceed the burst. */
    public fun waitTime(needed: Double): Duration {
        if (needed > burst) return Duration.INFINITE
        return (maxOf(0.0, needed - level) / rate).seconds + CHECKPOINT_WAIT
    }

    private fun refill(now: Duration) {
        if (now >= inheritedUntil) inheritedOutstanding = 0.0
        ledgers.values.forEach { it.writeOffExpired(now) }
        ledgers.values.removeAll { it.isIdle(now) }
        val added = rate * (now - refilledAt).toDouble(DurationUnit.SECONDS)
        refilledAt = now
        level += added
        clampLevel()
    }

    private fun clampLevel() {
        level = minOf(level, maxOf(0.0, burst - outstanding))
    }

    private fun assertInvariant() {
        val room = maxOf(0.0, burst - outstanding)
        check(level <= room + burst * ROUNDING_TOLERANCE) { "level $level plus outstanding $outstanding exceeds burst $burst" }
        check(level >= -burst * ROUNDING_TOLERANCE) { "level $level is negative" }
    }

    public companion object {
        /** Time for which an instance may spend a grant, counted from its request for it. */
        public val GRANT_LIFETIME: Duration = 2.seconds

        private const val MIN_CHUNK_SHARE = 1.0 / 64
        private const val MAX_CHUNK_SHARE = 0.25
        private val CHECKPOINT_WAIT = 20.milliseconds
        private const val ROUNDING_TOLERANCE = 1e-9
    }
}
