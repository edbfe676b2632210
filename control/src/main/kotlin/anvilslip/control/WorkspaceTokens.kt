package anvilslip.control

import anvilslip.policy.Grant
import anvilslip.policy.Reservation
import anvilslip.policy.TokenBucket
import anvilslip.policy.TokenPool
import anvilslip.policy.Usage
import kotlinx.coroutines.sync.Mutex
import kotlin.time.Duration

/** The tokens of one workspace on this instance. Thread-safe. */
internal class WorkspaceTokens {
    private val pool = TokenPool()
    private var spentMark = 0.0
    private var markedAt: Duration? = null
    private var recentRate = 0.0

    /** Held while tokens are being asked for, so that one answer serves all who wait. */
    val asking = Mutex()

    val usage: Usage @Synchronized get() = pool.usage

    @Synchronized
    fun reserve(
        tokens: Double,
        now: Duration,
    ): Reservation? = pool.reserve(tokens, now)

    @Synchronized
    fun commit(
        reservation: Reservation,
        now: Duration,
    ): Boolean = pool.commit(reservation, now)

    @Synchronized
    fun cancel(
        reservation: Reservation,
        now: Duration,
    ) = pool.cancel(reservation, now)

    @Synchronized
    fun take(
        grant: Grant,
        askedAt: Duration,
        now: Duration,
    ) = pool.addGrant(grant, askedAt, now)

    /** Gives back what has expired and returns the totals. */
    @Synchronized
    fun report(now: Duration): Usage {
        pool.expire(now)
        return pool.usage
    }

    /** Tokens worth asking for at once: [needed], and a part of what a grant's lifetime is likely to use. */
    @Synchronized
    fun wanted(
        needed: Double,
        now: Duration,
    ): Double {
        val since = markedAt
        if (since == null || now - since >= TokenBucket.GRANT_LIFETIME / 2) {
            recentRate = pool.totalSpent - spentMark
            spentMark = pool.totalSpent
            markedAt = now
        }
        return maxOf(needed, recentRate * PREFETCH_SHARE)
    }

    private companion object {
        const val PREFETCH_SHARE = 0.25
    }
}
