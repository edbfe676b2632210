package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Limits of the weight store and time-outs of [Placement]. */
public data class PlacementOptions(
    /** Maximum number of loads started per second. */
    val loadsPerSecond: Double = 2.0,
    /** Maximum number of concurrent loads over all servers; more would slow each other down. */
    val maxLoadsInFlight: Int = 8,
    val loadTime: Duration = 250.milliseconds,
    /** Time for which an instance may use an adapter after it last renewed the lease. */
    val useLease: Duration = 3.seconds,
    /** A server that sent no announcement for this time is removed. */
    val announcementTimeout: Duration = 3.seconds,
    /** A load that has not finished after this time counts as failed. */
    val loadTimeout: Duration = 10.seconds,
    /** Half-life of the weight of past uses in the popularity of an adapter. */
    val popularityHalfLife: Duration = 2.minutes,
    /** Time for which the adapter of a refused request stays in the load queue, for clients that retry. */
    val pendingLoadRetention: Duration = 30.seconds,
    /** Requests queued beyond the batch of the best server with the adapter at which another copy is loaded. */
    val copyQueue: Int = 2,
)
