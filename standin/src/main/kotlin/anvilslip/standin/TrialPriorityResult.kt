package anvilslip.standin

import kotlinx.serialization.Serializable

/** Shares of the requests of one priority in a [DispatchTrial]. */
@Serializable
public data class TrialPriorityResult(
    /** Achieved share of their worth. */
    val worth: Double,
    val onTime: Double,
    val late: Double,
    /** Share that was never answered. */
    val unserved: Double,
    /** Mean number of refusals of a request. */
    val refusals: Double,
)
