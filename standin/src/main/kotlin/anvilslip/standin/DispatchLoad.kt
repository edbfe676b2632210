package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A load scenario for a [DispatchTrial]: the client traffic and the engine drains and restarts during it. */
public data class DispatchLoad(
    val name: String,
    /** Mean arrival rate outside the surge. */
    val requestsPerSecond: Double = 29.0,
    /** Number of requests that arrive at the same time. */
    val burstSize: Int = 3,
    /** Start of the surge, during which clients send [surgeFactor] times as many requests. */
    val surgeFrom: Duration = Duration.ZERO,
    /** End of the surge. */
    val surgeTo: Duration = Duration.ZERO,
    val surgeFactor: Double = 1.0,
    /** Whether only the first workspace takes part in the surge. */
    val surgeInOneWorkspace: Boolean = false,
    /** Index of the only kind of request that takes part in the surge, by [surgeKindFactor]; null for none. */
    val surgeKind: Int? = null,
    val surgeKindFactor: Double = 1.0,
    /** Whether adapters are requested uniformly during the surge, so that nearly every request needs a different one. */
    val uniformAdapters: Boolean = false,
    /** Share of requests during the surge whose clients retry up to three times, 20 ms after each refusal. */
    val impatientShare: Double = 0.0,
    /** Time at which [drainingEngines] engines start draining; they stop two seconds later. Null for never. */
    val drainAt: Duration? = null,
    val drainingEngines: Int = 0,
    /** Time at which [restartingEngines] engines restart without adapters; null for never. */
    val restartAt: Duration? = null,
    val restartingEngines: Int = 0,
    /** Time from which [limitedEngines] engines name [limit]; null for never. */
    val limitFrom: Duration? = null,
    val limitTo: Duration = Duration.ZERO,
    val limitedEngines: Int = 0,
    /** Requests a second that each of the limited engines takes. */
    val limit: Double = 1.2,
    val duration: Duration = 40.seconds,
) {
    public companion object {
        /** The load scenarios to compare. */
        public val ALL: List<DispatchLoad> =
            listOf(
                DispatchLoad("steady"),
                DispatchLoad("term-start", surgeFrom = 12.seconds, surgeTo = 18.seconds, surgeFactor = 1.8),
                DispatchLoad("one-workspace", surgeFrom = 12.seconds, surgeTo = 18.seconds, surgeFactor = 7.5, surgeInOneWorkspace = true),
                DispatchLoad("impatient-clients", surgeFrom = 12.seconds, surgeTo = 18.seconds, surgeFactor = 1.5, impatientShare = 0.3),
                DispatchLoad("rare-adapters", surgeFrom = 12.seconds, surgeTo = 16.seconds, surgeFactor = 1.5, uniformAdapters = true),
                DispatchLoad("engines-leave", drainAt = 12.seconds, drainingEngines = 2),
                DispatchLoad("cold-restart", restartAt = 12.seconds, restartingEngines = 3),
            )

        /** Loads of a deployment of [engines] engines with [TrialKind.BY_PRIORITY]. */
        public fun ofManyEngines(engines: Int): List<DispatchLoad> {
            val rate = engines * REQUESTS_PER_SECOND_PER_ENGINE
            val usual = DispatchLoad("usual", rate, surgeFrom = 8.seconds, surgeTo = 20.seconds, duration = 26.seconds)
            return listOf(
                usual,
                usual.copy(name = "one-kind", surgeKind = 0, surgeKindFactor = 2.3),
                usual.copy(name = "one-workspace", surgeFactor = 10.0, surgeInOneWorkspace = true),
                usual.copy(name = "quarter-leaves", drainAt = 8.seconds, drainingEngines = engines / 4),
            )
        }

        /** A steady load on [engines] engines of which none, one or a third name a limit. */
        public fun withLimits(engines: Int): List<DispatchLoad> =
            listOf(0, 1, engines / 3).map {
                DispatchLoad("limited-$it", engines * STEADY_PER_ENGINE, limitFrom = 10.seconds, limitTo = 30.seconds, limitedEngines = it)
            }

        /** Mean arrival rate per engine of a steady load. */
        private const val STEADY_PER_ENGINE = 29 / 6.0

        /** Mean arrival rate per engine. It occupies most of the engines, so that each disturbance is an overload. */
        private const val REQUESTS_PER_SECOND_PER_ENGINE = 25 / 3.0
    }
}
