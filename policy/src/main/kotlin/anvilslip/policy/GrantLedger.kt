package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * What the owner of a bucket knows of its grants to one instance. [outstanding] is never less than the tokens that the instance
 * can still spend: grants expire, so no more can be left than was granted of late, and reports only ever lower it.
 */
internal class GrantLedger(
    val epoch: Long,
    now: Duration,
) {
    private class Recent(
        val at: Duration,
        val tokens: Double,
    )

    private val recent = ArrayDeque<Recent>()

    /** Tokens granted within about the lifetime of a grant. */
    var recentTokens = 0.0
        private set
    private var usage = Usage(epoch)
    private var lastGrant = now

    /** Tokens counted as spent without a report; a later report of them must not be taken for one of newer tokens. */
    private var writtenOff = 0.0

    var outstanding = 0.0
        private set

    fun recordGrant(
        tokens: Double,
        now: Duration,
    ) {
        recent.addLast(Recent(now, tokens))
        recentTokens += tokens
        outstanding += tokens
        lastGrant = now
    }

    /** Takes in reported totals and returns the tokens that go back to the bucket. */
    fun applyUsage(reported: Usage): Double {
        val spent = maxOf(0.0, reported.spent - usage.spent)
        val returned = maxOf(0.0, reported.returned - usage.returned)
        usage = Usage(epoch, usage.spent + spent, usage.returned + returned)
        val absorbed = minOf(writtenOff, spent + returned)
        writtenOff -= absorbed
        val accounted = minOf(outstanding, spent + returned - absorbed)
        outstanding -= accounted
        return minOf(returned, accounted)
    }

    /** Counts as spent what was granted too long ago to be spent still. */
    fun writeOff(now: Duration) {
        while (recent.isNotEmpty() && now - recent.first().at >= CERTAINLY_EXPIRED) recentTokens -= recent.removeFirst().tokens
        if (recent.isEmpty()) recentTokens = 0.0
        val excess = outstanding - recentTokens
        if (excess <= 0.0) return
        outstanding -= excess
        writtenOff += excess
    }

    /** True when nothing was granted for so long that the ledger can be forgotten. */
    fun isIdle(now: Duration): Boolean = now - lastGrant > KEPT

    private companion object {
        /** Clocks run apart, so the owner waits a little longer than the holder. */
        val CERTAINLY_EXPIRED = TokenBucket.GRANT_LIFETIME * 1.05
        val KEPT = 1.minutes
    }
}
