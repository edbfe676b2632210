package anvilslip.standin

import anvilslip.policy.DispatchOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A deployment of engines for [DispatchTrial]s. */
public data class DispatchTrialOptions(
    val engines: Int = 6,
    val zones: Int = 3,
    val engine: EngineModelOptions = EngineModelOptions(),
    val dispatch: DispatchOptions = DispatchOptions(),
    /** Adapters that clients know. */
    val adapters: Int = 3_000,
    /** Exponent of the popularity of adapters by rank. */
    val skew: Double = 1.2,
    /** Shares of the workspaces in the requests. */
    val workspaces: List<Double> = listOf(0.45, 0.30, 0.15, 0.07, 0.03),
    /** Tokens a second that a workspace may use, as a multiple of what it ordinarily asks for. */
    val limitFactor: Double = 1.8,
    val target: Duration = 1.seconds,
    /** How long a request waits at the leader for a place. */
    val placeWait: Duration = 100.milliseconds,
)
