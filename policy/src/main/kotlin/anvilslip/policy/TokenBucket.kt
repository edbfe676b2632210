package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The one bucket of a workspace, kept by its owner; instances spend grants from it.
 *
 * Invariant: [level] plus the tokens granted but not known to be spent are at most [burst]. All tokens spent in a window of
 * length t were outstanding at its start or granted in it, so over all instances they are at most burst + rate x t.
 *
 * A lost owner is survived by checkpoints: the owner hands out no more than [allowance] beyond the last agreed one, so the
 * next owner can start from it without waiting.
 */
public class TokenBucket(
    private var rate: Double,
    private var burst: Double,
    now: Duration,
    start: CheckpointBounds? = null,
    private val epochs: () -> Long,
) {
    private val ledgers = HashMap<String, GrantLedger>()
    private var inherited = start?.outstanding?.coerceAtMost(burst) ?: 0.0
    private val inheritedUntil = now + GRANT_LIFETIME
    private var refilledAt = now
    private var sinceCheckpoint = 0.0

    /** Tokens that may be granted now, but for [allowance]. */
    public var level: Double = (start?.level ?: burst).coerceIn(0.0, burst - inherited)
        private set

    /** Tokens that may be granted before the next checkpoint must be agreed. */
    public var allowance: Double = 0.0
        private set

    /** Tokens granted by this or the previous owner and not known to be spent or returned. */
    public val outstanding: Double get() = inherited + ledgers.values.sumOf { it.outstanding }

    /** Takes over changed limits; a smaller burst takes effect at once. */
    public fun updateLimits(
        newRate: Double,
        newBurst: Double,
        now: Duration,
    ) {
        refill(now)
        rate = newRate
        burst = newBurst
        clampLevel()
    }

    /** Grants up to [wanted] tokens to [instance], or nothing unless at least [needed] are there. */
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
        sinceCheckpoint += tokens
        ledger.recordGrant(tokens, now)
        assertInvariant()
        return Grant(ledger.epoch, tokens)
    }

    /** True when a grant of [needed] waits for a checkpoint only. */
    public fun needsCheckpoint(needed: Double): Boolean = allowance < needed && level >= needed

    /** Takes in the totals that [instance] reports. */
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
     * The bounds to have agreed on before [commitCheckpoint] allows more grants, [needed] at the least. A small chunk costs more
     * checkpoints, a large one is held back from the next owner; what was granted within about the lifetime of a grant lies between.
     */
    public fun checkpoint(
        now: Duration,
        needed: Double = 0.0,
    ): CheckpointBounds {
        refill(now)
        val recent = ledgers.values.sumOf { it.recentTokens }
        val chunk = minOf(level, maxOf(needed, recent.coerceIn(burst * MIN_CHUNK_SHARE, burst * MAX_CHUNK_SHARE)))
        sinceCheckpoint = 0.0
        return CheckpointBounds(level - chunk, (outstanding + chunk).coerceAtMost(burst), chunk)
    }

    /** The checkpoint [start], the last one taken, is agreed on. */
    public fun commitCheckpoint(start: CheckpointBounds) {
        allowance = maxOf(0.0, start.chunk - sinceCheckpoint)
    }

    /** When [needed] tokens will have flowed in. */
    public fun waitTime(needed: Double): Duration {
        if (needed > burst) return Duration.INFINITE
        return (maxOf(0.0, needed - level) / rate).seconds + CHECKPOINT_WAIT
    }

    private fun refill(now: Duration) {
        if (now >= inheritedUntil) inherited = 0.0
        ledgers.values.forEach { it.writeOff(now) }
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
        check(level <= room + burst * ROUNDING) { "level $level + outstanding $outstanding over burst $burst" }
        check(level >= -burst * ROUNDING) { "level $level is negative" }
    }

    public companion object {
        /** How long after asking for it an instance may spend a grant. */
        public val GRANT_LIFETIME: Duration = 2.seconds

        private const val MIN_CHUNK_SHARE = 1.0 / 64
        private const val MAX_CHUNK_SHARE = 0.25
        private val CHECKPOINT_WAIT = 20.milliseconds
        private const val ROUNDING = 1e-9
    }
}
