package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Deployment and load of an [Experiment]. */
public data class ExperimentOptions(
    val name: String,
    val engines: Int,
    val zones: Int,
    val loadsPerSecond: Double,
    val slots: Int = 8,
    val batch: Int = 16,
    val adapters: Int = 3_000,
    val instances: Int = 9,
    /** Requests per second before the shift. */
    val requestsPerSecond: Double = 4.0,
    /** Exponent of the popularity of adapters by rank. */
    val skew: Double = 1.2,
    /** Share of the requests that each workspace sends. */
    val workspaces: List<Double> = listOf(0.45, 0.30, 0.15, 0.07, 0.03),
    val tokens: IntRange = 20..200,
    val tokenTime: Duration = 10.milliseconds,
    val loadTime: Duration = 250.milliseconds,
    val waitTarget: Duration = 5.seconds,
    /** Time after which a client stops retrying. */
    val timeout: Duration = 30.seconds,
    val duration: Duration = 600.seconds,
    /** Time at which other adapters become popular and the first workspace sends [surge] times as many requests; null for never. */
    val shiftAt: Duration? = 300.seconds,
    val surge: Double = 2.0,
    /** Share of loads that fail. */
    val failedLoads: Double = 0.0,
    /** Time at which one engine restarts without its adapters; null for never. */
    val restartAt: Duration? = null,
) {
    public companion object {
        /** Three zones, six engines, two loads a second. */
        public val TILAHUN: ExperimentOptions = ExperimentOptions("tilahun", engines = 6, zones = 3, loadsPerSecond = 2.0)

        /** Four zones, eight engines, three loads a second. */
        public val JARUM: ExperimentOptions =
            ExperimentOptions("jarum", engines = 8, zones = 4, loadsPerSecond = 3.0, requestsPerSecond = 6.0)
    }
}
