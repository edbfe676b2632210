package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Limits of the weight store and timing of placement. */
public data class PlacementOptions(
    /** Loads that the weight store allows per second. */
    val loadsPerSecond: Double = 2.0,
    /** Loads in flight at full speed over all servers. */
    val maxLoadsInFlight: Int = 8,
    val loadTime: Duration = 250.milliseconds,
    /** How long an instance may use an adapter after its last renewal. */
    val useLease: Duration = 3.seconds,
    /** A server that has not announced itself for so long is lost. */
    val announcementTimeout: Duration = 3.seconds,
    /** A load that has not finished after this long has failed. */
    val loadTimeout: Duration = 10.seconds,
    /** Time over which a past use of an adapter loses half its weight. */
    val popularityHalfLife: Duration = 2.minutes,
    /** How long a refused adapter stays in the load queue for callers that come back. */
    val wantRetention: Duration = 30.seconds,
    /** Requests queued beyond the batch of a server that holds the adapter before a further copy is made. */
    val copyQueue: Int = 2,
)
