package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The bucket owner's account of its grants to one instance. [outstanding] is an upper bound on the tokens that the instance can
 * still spend: expired grants are written off, so it is at most what was granted recently, and usage reports only lower it.
 */
internal class GrantLedger(
    val epoch: Long,
    now: Duration,
) {
    private class RecentGrant(
        val at: Duration,
        val tokens: Double,
    )

    private val recentGrants = ArrayDeque<RecentGrant>()

    /** Tokens granted within the lifetime of a grant, including a margin for clock drift. */
    var recentTokens = 0.0
        private set
    private var usage = Usage(epoch)
    private var lastGrantAt = now

    /** Tokens counted as spent without a report. A late report of these tokens must not be attributed to newer grants. */
    private var writtenOff = 0.0

    /** Tokens granted that are not known to be spent or returned. */
    var outstanding = 0.0
        private set

    fun recordGrant(
        tokens: Double,
        now: Duration,
    ) {
        recentGrants.addLast(RecentGrant(now, tokens))
        recentTokens += tokens
        outstanding += tokens
        lastGrantAt = now
    }

    /** Applies the reported running totals and returns the number of tokens to put back into the bucket. */
    fun applyUsage(reported: Usage): Double {
        val spent = maxOf(0.0, reported.spent - usage.spent)
        val returned = maxOf(0.0, reported.returned - usage.returned)
        usage = Usage(epoch, usage.spent + spent, usage.returned + returned)
        val alreadyWrittenOff = minOf(writtenOff, spent + returned)
        writtenOff -= alreadyWrittenOff
        val accounted = minOf(outstanding, spent + returned - alreadyWrittenOff)
        outstanding -= accounted
        return minOf(returned, accounted)
    }

    /** Counts tokens as spent whose grants have expired without a report. */
    fun writeOffExpired(now: Duration) {
        while (recentGrants.isNotEmpty() && now - recentGrants.first().at >= MAX_LIFETIME) recentTokens -= recentGrants.removeFirst().tokens
        if (recentGrants.isEmpty()) recentTokens = 0.0
        val excess = outstanding - recentTokens
        if (excess <= 0.0) return
        outstanding -= excess
        writtenOff += excess
    }

    /** True if the last grant is so old that the ledger can be removed. */
    fun isIdle(now: Duration): Boolean = now - lastGrantAt > RETENTION

    private companion object {
        /** The clocks of owner and holder can drift apart, so the owner waits 5 % longer than the holder. */
        val MAX_LIFETIME = TokenBucket.GRANT_LIFETIME * 1.05
        val RETENTION = 1.minutes
    }
}
