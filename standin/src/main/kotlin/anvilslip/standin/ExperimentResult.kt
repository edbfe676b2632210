package anvilslip.standin

import kotlinx.serialization.Serializable

/** Metrics of one [Experiment]; docs/MEASURES.md defines them. */
@Serializable
public data class ExperimentResult(
    val deployment: String,
    val scenario: String,
    val policy: String,
    val seed: Long,
    val requests: Int,
    /** Seconds that requests waited for placement, per thousand requests. */
    val stalledSecondsPerThousand: Double,
    /** Mean share of batch slots in use while an engine is busy. */
    val batchEfficiency: Double,
    /** 99th percentile of the wait for the first token, in the workspace where it is longest, in seconds. */
    val worstWorkspaceWait: Double,
    /** [worstWorkspaceWait] divided by the 99th percentile of the workspace with the shortest wait. */
    val worstToBest: Double,
    /** Share of requests that were never served. */
    val refusedShare: Double,
    /** Share of requests that waited longer than the target of their class, or were never served. */
    val missedTarget: Double,
    /** Number of adapter loads ordered. */
    val loads: Int,
)
