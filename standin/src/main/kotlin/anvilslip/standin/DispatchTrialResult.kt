package anvilslip.standin

import kotlinx.serialization.Serializable

/** The figures of one [DispatchTrial]; shares are of the requests within their workspace's limit. */
@Serializable
public data class DispatchTrialResult(
    val load: String,
    val seed: Long,
    val requests: Int,
    /** What was earned of what could be: an answer that begins in time counts whole, a late one 0.3. */
    val worth: Double,
    /** The same over the worst two seconds. */
    val worstWorth: Double,
    val late: Double,
    /** Share refused once or more. */
    val refused: Double,
    /** Share never served. */
    val unserved: Double,
    /** Share served of each workspace that sent requests, the largest workspace first. */
    val servedByWorkspace: List<Double>,
    /** Lowest share served of a kind of request. */
    val worstKind: Double,
    /** Loads from the weight store for each hundred requests. */
    val fetches: Double,
    /** Prompt tokens read for each token of the prompts that were answered. */
    val readShare: Double,
) {
    /** Lowest share served of a workspace. */
    val worstWorkspace: Double get() = servedByWorkspace.min()
}
