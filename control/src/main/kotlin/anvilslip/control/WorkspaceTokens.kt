package anvilslip.control

import anvilslip.policy.Grant
import anvilslip.policy.Reservation
import anvilslip.policy.TokenBucket
import anvilslip.policy.TokenPool
import anvilslip.policy.Usage
import kotlinx.coroutines.sync.Mutex
import kotlin.time.Duration

/** Tokens of one workspace that are granted to this instance. Thread-safe. */
internal class WorkspaceTokens {
    private val pool = TokenPool()
    private var spentAtSample = 0.0
    private var sampledAt: Duration? = null
    private var recentlySpent = 0.0

    /** Held during a grant request, so that concurrent reservations share one grant instead of each requesting their own. */
    val grantLock = Mutex()

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
    fun addGrant(
        grant: Grant,
        requestedAt: Duration,
        now: Duration,
    ) = pool.addGrant(grant, requestedAt, now)

    /** Expires old grants and returns the totals to report to the leader. */
    @Synchronized
    fun report(now: Duration): Usage {
        pool.expire(now)
        return pool.usage
    }

    /**
     * Number of tokens to request in one grant: [needed], or, if that is more, a share of the tokens expected to be spent within the
     * lifetime of the grant, estimated from recent spending.
     */
    @Synchronized
    fun tokensToRequest(
        needed: Double,
        now: Duration,
    ): Double {
        val lastSample = sampledAt
        if (lastSample == null || now - lastSample >= TokenBucket.GRANT_LIFETIME / 2) {
            recentlySpent = pool.totalSpent - spentAtSample
            spentAtSample = pool.totalSpent
            sampledAt = now
        }
        return maxOf(needed, recentlySpent * PREFETCH_SHARE)
    }

    private companion object {
        /** Share of the tokens spent in the last sampling period to request ahead. */
        const val PREFETCH_SHARE = 0.25
    }
}
