package anvilslip.standin

import anvilslip.settings.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Settings of an [EngineStandIn]. */
public data class EngineOptions(
    val server: String,
    val model: String,
    val zone: String,
    val address: Address,
    val slots: Int = 4,
    val batch: Int = 8,
    val tokenTime: Duration = 5.milliseconds,
    val checksFencing: Boolean = true,
    /** `host:port` of the weight store, or null to load in [loadTime]. */
    val weightStore: String? = null,
    val loadTime: Duration = 250.milliseconds,
    /** Time after the start before the engine serves requests. */
    val coldStart: Duration = Duration.ZERO,
    /** Every n-th load fails; 0 for none. */
    val failEveryLoad: Int = 0,
)
