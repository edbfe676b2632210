package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A load that a [DispatchTrial] replays: what clients send, and what befalls the engines meanwhile. */
public data class DispatchLoad(
    val name: String,
    /** Requests a second in ordinary times. */
    val requestsPerSecond: Double = 29.0,
    /** Requests that come at the same moment. */
    val clump: Int = 3,
    /** From when to when clients send [surge] times as much. */
    val surgeFrom: Duration = Duration.ZERO,
    val surgeTo: Duration = Duration.ZERO,
    val surge: Double = 1.0,
    /** Only the first workspace takes part in the surge. */
    val surgeOfOne: Boolean = false,
    /** During the surge all adapters are asked for alike, so that nearly each request needs another one. */
    val rareAdapters: Boolean = false,
    /** Share of the clients that come back at once, and thrice, during the surge. */
    val impatient: Double = 0.0,
    /** When [leaving] engines say that they leave; they are gone two seconds later. */
    val leaveAt: Duration? = null,
    val leaving: Int = 0,
    /** When [restarting] engines start again without adapters. */
    val restartAt: Duration? = null,
    val restarting: Int = 0,
    val duration: Duration = 40.seconds,
) {
    public companion object {
        /** The loads that are compared. */
        public val ALL: List<DispatchLoad> =
            listOf(
                DispatchLoad("steady"),
                DispatchLoad("term-start", surgeFrom = 12.seconds, surgeTo = 18.seconds, surge = 1.8),
                DispatchLoad("one-workspace", surgeFrom = 12.seconds, surgeTo = 18.seconds, surge = 7.5, surgeOfOne = true),
                DispatchLoad("impatient-clients", surgeFrom = 12.seconds, surgeTo = 18.seconds, surge = 1.5, impatient = 0.3),
                DispatchLoad("rare-adapters", surgeFrom = 12.seconds, surgeTo = 16.seconds, surge = 1.5, rareAdapters = true),
                DispatchLoad("engines-leave", leaveAt = 12.seconds, leaving = 2),
                DispatchLoad("cold-restart", restartAt = 12.seconds, restarting = 3),
            )
    }
}
