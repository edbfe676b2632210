package anvilslip.standin

/** Formats experiment results as a table with the median, minimum and maximum over the seeds. */
public object ExperimentReport {
    private val columns: List<Pair<String, (ExperimentResult) -> Double>> =
        listOf(
            "stalled s/1000" to { it.stalledSecondsPerThousand },
            "batch" to { it.batchEfficiency },
            "worst p99 s" to { it.worstWorkspaceWait },
            "worst/best" to { it.worstToBest },
            "refused %" to { it.refusedShare * PERCENT },
            "missed %" to { it.missedTarget * PERCENT },
            "loads" to { it.loads.toDouble() },
        )

    /** Returns a Markdown table of [results] with one row per deployment, scenario and policy. */
    public fun table(results: List<ExperimentResult>): String =
        SpreadTable(listOf("deployment", "scenario", "policy"), columns, digits = 2)
            .of(results.groupBy { listOf(it.deployment, it.scenario, it.policy) })

    private const val PERCENT = 100.0
}
