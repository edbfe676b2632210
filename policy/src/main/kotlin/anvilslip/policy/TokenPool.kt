package anvilslip.policy

import kotlin.time.Duration

/**
 * Tokens of one workspace granted to one instance, in lots that expire. Tokens are spent when a request is sent; what is left of
 * a lot when it expires goes back to the owner. Not thread-safe.
 */
public class TokenPool {
    private class Lot(
        var tokens: Double,
        val expires: Duration,
    )

    private val lots = ArrayDeque<Lot>()
    private var epoch = 0L
    private var spent = 0.0
    private var returned = 0.0

    /** Tokens spent here ever, over all epochs. */
    public var totalSpent: Double = 0.0
        private set

    /** Running totals for the owner. */
    public val usage: Usage get() = Usage(epoch, spent, returned)

    /** Sets [tokens] aside for a request if so many are left; to be settled by [commit] or [cancel]. */
    public fun reserve(
        tokens: Double,
        now: Duration,
    ): Reservation? {
        expire(now)
        if (lots.sumOf { it.tokens } < tokens) return null
        var expires = lots.first().expires
        var missing = tokens
        // Rounding may leave a trace missing after the last lot.
        while (missing > 0.0 && lots.isNotEmpty()) {
            val lot = lots.first()
            val taken = minOf(missing, lot.tokens)
            lot.tokens -= taken
            missing -= taken
            expires = minOf(expires, lot.expires)
            if (lot.tokens <= 0.0) lots.removeFirst()
        }
        return Reservation(epoch, tokens, expires)
    }

    /** The request of [reservation] runs: its tokens are spent. False, and nothing spent, when the grant has expired meanwhile. */
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

    /** The request of [reservation] will not run. */
    public fun cancel(
        reservation: Reservation,
        now: Duration,
    ) {
        if (reservation.epoch != epoch) return
        if (now >= reservation.expires) returned += reservation.tokens else lots.addFirst(Lot(reservation.tokens, reservation.expires))
    }

    /** Takes in [grant], asked for at [askedAt]. One of an epoch before the current is dead. */
    public fun addGrant(
        grant: Grant,
        askedAt: Duration,
        now: Duration,
    ) {
        if (grant.epoch < epoch) return
        if (grant.epoch > epoch) enter(grant.epoch)
        val expires = askedAt + TokenBucket.GRANT_LIFETIME
        if (now >= expires) {
            returned += grant.tokens
        } else if (grant.tokens > 0.0) {
            lots.addLast(Lot(grant.tokens, expires))
        }
    }

    /** Gives back the tokens whose time is over. */
    public fun expire(now: Duration) {
        val over = lots.filter { now >= it.expires }
        returned += over.sumOf { it.tokens }
        lots.removeAll(over.toSet())
    }

    private fun enter(newEpoch: Long) {
        epoch = newEpoch
        lots.clear()
        spent = 0.0
        returned = 0.0
    }
}
