package anvilslip.standin

import anvilslip.policy.AdmissionOptions
import anvilslip.policy.DispatchOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Deployment, dispatch settings and client population of a [DispatchTrial]. */
public data class DispatchTrialOptions(
    val engines: Int = 6,
    val zones: Int = 3,
    val engine: EngineModelOptions = EngineModelOptions(),
    /** Speeds of the engines relative to [engine], by turns. */
    val engineSpeeds: List<Double> = listOf(1.0),
    /** Slow spells of the engines; null for none. */
    val slowSpells: SpeedProfile.SlowSpells? = null,
    val dispatch: DispatchOptions = DispatchOptions(),
    /** Number of adapters that clients request. */
    val adapters: Int = 3_000,
    /** Exponent of the popularity of adapters by rank. */
    val skew: Double = 1.2,
    /** Share of the requests that each workspace sends. */
    val workspaces: List<Double> = listOf(0.45, 0.30, 0.15, 0.07, 0.03),
    /** Rate limit of a workspace in tokens per second, as a multiple of its mean demand. */
    val limitFactor: Double = 1.8,
    val kinds: List<TrialKind> = TrialKind.DEFAULT,
    val targetLatency: Duration = 1.seconds,
    /** Maximum time that a request waits at the leader while its adapter is loaded. */
    val placementWait: Duration = 100.milliseconds,
    /** Loads that the weight store carries at full speed. */
    val fullSpeedLoads: Int = 8,
    val admission: AdmissionOptions = AdmissionOptions(),
    /** Processor time of the leader; null if decisions take none. */
    val leader: LeaderModelOptions? = null,
) {
    public companion object {
        /** A deployment of [engines] engines with requests of three priorities, of which most find their adapter loaded. */
        public fun ofManyEngines(
            engines: Int,
            dispatch: DispatchOptions = DispatchOptions(),
        ): DispatchTrialOptions =
            DispatchTrialOptions(
                engines = engines,
                dispatch = dispatch,
                adapters = 1_000,
                skew = 1.4,
                kinds = TrialKind.BY_PRIORITY,
                fullSpeedLoads = (engines * FULL_SPEED_LOADS_PER_ENGINE).toInt(),
            )

        /** Concurrent loads per engine that the weight store carries at full speed. */
        private const val FULL_SPEED_LOADS_PER_ENGINE = 0.65
    }
}
