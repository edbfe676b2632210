package anvilslip.policy

import kotlin.time.Duration

/**
 * Tokens of one workspace that were granted to this instance. Each grant forms a lot that expires. Tokens are spent when a request is
 * sent; the unspent tokens of an expired lot are returned to the bucket owner. Not thread-safe.
 */
public class TokenPool {
    private class Lot(
        var tokens: Double,
        val expiresAt: Duration,
    )

    private val lots = ArrayDeque<Lot>()
    private var epoch = 0L
    private var spent = 0.0
    private var returned = 0.0

    /** Total number of tokens spent by this pool over all epochs. */
    public var totalSpent: Double = 0.0
        private set

    /** Running totals of the current epoch, to be reported to the bucket owner. */
    public val usage: Usage get() = Usage(epoch, spent, returned)

    /** Reserves [tokens] for a request, or returns null if fewer are left. A reservation must be ended by [commit] or [cancel]. */
    public fun reserve(
        tokens: Double,
        now: Duration,
    ): Reservation? {
        expire(now)
        if (lots.sumOf { it.tokens } < tokens) return null
        var expiresAt = lots.first().expiresAt
        var missing = tokens
        // Due to rounding, a tiny amount may still be missing after the last lot.
        while (missing > 0.0 && lots.isNotEmpty()) {
            val lot = lots.first()
            val taken = minOf(missing, lot.tokens)
            lot.tokens -= taken
            missing -= taken
            expiresAt = minOf(expiresAt, lot.expiresAt)
            if (lot.tokens <= 0.0) lots.removeFirst()
        }
        return Reservation(epoch, tokens, expiresAt)
    }

    /** Spends the tokens of [reservation]. Returns false and spends nothing if the underlying grant has expired. */
    public fun commit(
        reservation: Reservation,
        now: Duration,
    ): Boolean {
        if (now >= reservation.expires) {
            cancel(reservation, now)
            return false
        }
        if (reservation.epoch == epoch) spent += reservation.tokens
        totalSpent += reservation.tokens
        return true
    }

    /** Releases [reservation] because its request will not run. */
    public fun cancel(
        reservation: Reservation,
        now: Duration,
    ) {
        if (reservation.epoch != epoch) return
        if (now >= reservation.expires) returned += reservation.tokens else lots.addFirst(Lot(reservation.tokens, reservation.expires))
    }

    /** Adds [grant], which was requested at [askedAt]. Grants of an earlier epoch are ignored. */
    public fun addGrant(
        grant: Grant,
        askedAt: Duration,
        now: Duration,
    ) {
        if (grant.epoch < epoch) return
        if (grant.epoch > epoch) startEpoch(grant.epoch)
        val expiresAt = askedAt + TokenBucket.GRANT_LIFETIME
        if (now >= expiresAt) {
            returned += grant.tokens
        } else if (grant.tokens > 0.0) {
            lots.addLast(Lot(grant.tokens, expiresAt))
        }
    }

    /** Returns the tokens of expired lots. */
    public fun expire(now: Duration) {
        val expired = lots.filter { now >= it.expiresAt }
        returned += expired.sumOf { it.tokens }
        lots.removeAll(expired.toSet())
    }

    private fun startEpoch(newEpoch: Long) {
        epoch = newEpoch
        lots.clear()
        spent = 0.0
        returned = 0.0
    }
}
