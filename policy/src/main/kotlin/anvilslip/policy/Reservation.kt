package anvilslip.policy

import kotlin.time.Duration

/** Tokens reserved for one request, which must be spent before [expires]. */
public data class Reservation(
    val epoch: Long,
    val tokens: Double,
    val expires: Duration,
)
