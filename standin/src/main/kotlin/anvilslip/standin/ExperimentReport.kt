package anvilslip.standin

/** Results as a table: medians over the seeds, with the lowest and highest behind them. */
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

    /** A Markdown table of [results]. */
    public fun table(results: List<ExperimentResult>): String =
        SpreadTable(listOf("deployment", "scenario", "policy"), columns, digits = 2)
            .of(results.groupBy { listOf(it.deployment, it.scenario, it.policy) })

    private const val PERCENT = 100.0
}
