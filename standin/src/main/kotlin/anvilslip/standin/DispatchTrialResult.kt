package anvilslip.standin

import kotlinx.serialization.Serializable

/** Metrics of one [DispatchTrial]. Shares refer to the requests within the rate limit of their workspace. */
@Serializable
public data class DispatchTrialResult(
    val load: String,
    val seed: Long,
    val requests: Int,
    /** Achieved share of the total request worth; an answer that starts within the target counts fully, a late one 0.3. */
    val worth: Double,
    /** Lowest [worth] over any window of two seconds. */
    val worstWorth: Double,
    val late: Double,
    /** Share of requests that were refused at least once. */
    val refused: Double,
    /** Share of requests that were never served. */
    val unserved: Double,
    /** Share of requests served for each workspace that sent any, the largest workspace first. */
    val servedByWorkspace: List<Double>,
    /** Lowest share of requests served over all request kinds. */
    val worstKind: Double,
    /** Loads from the weight store per hundred requests. */
    val fetches: Double,
    /** Achieved share of the total worth of all requests, also those over the limit of their workspace. */
    val worthOfAll: Double,
    /** Shares of all requests, by priority. */
    val byPriority: Map<Int, TrialPriorityResult>,
    /** Prefilled tokens divided by the prompt tokens of all answered requests. */
    val readShare: Double,
    /** Prefilled tokens of the busiest engine relative to its speed, divided by the mean over all engines. */
    val busiestEngine: Double = 1.0,
    /** Median difference between the predicted and the actual time until an answer begins, relative to the actual time. */
    val predictionError: Double = 0.0,
    /** Mean time in milliseconds until an answer begins. */
    val meanWait: Double = 0.0,
    /** How adapters that were requested again and again were served. */
    val adapterStarvation: AdapterStarvation = AdapterStarvation.NONE,
    /** Requests of an engine in four seconds beyond what its limit allows, for the worst such time; 0 if none. */
    val requestsOverLimit: Double = 0.0,
    /** Share of the questions to the leader whose answer came too late. */
    val lateAnswers: Double = 0.0,
    /** Refusals by reason; those without a leader have `LOCAL_` before it. */
    val refusals: Map<String, Int> = emptyMap(),
    /** Attempts that an engine did not run since it does not hold the adapter. */
    val notHeld: Int = 0,
    /** Share of requests that were never served, by the second of their arrival in steps of two. */
    val unservedBySecond: List<Double> = emptyList(),
) {
    /** Lowest share of requests served over all workspaces. */
    val worstWorkspace: Double get() = servedByWorkspace.min()
}
