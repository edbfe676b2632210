package anvilslip.standin

/** Figures of [DispatchTrial]s as a table: medians over the seeds, with the lowest and highest behind them. */
public object DispatchTrialReport {
    private val columns: List<Pair<String, (DispatchTrialResult) -> Double>> =
        listOf(
            "worth" to { it.worth },
            "worst 2 s" to { it.worstWorth },
            "late" to { it.late },
            "refused" to { it.refused },
            "unserved" to { it.unserved },
            "worst workspace" to { it.worstWorkspace },
            "worst kind" to { it.worstKind },
            "fetches/100" to { it.fetches },
            "read" to { it.readShare },
        )

    /** A Markdown table of [results]. */
    public fun table(results: List<DispatchTrialResult>): String {
        val head = listOf("load") + columns.map { it.first }
        val rows = results.groupBy { it.load }.map { (load, runs) -> listOf(load) + columns.map { (_, value) -> cell(runs.map(value)) } }
        return (listOf(head, head.map { "---" }) + rows).joinToString("\n") { it.joinToString(" | ", "| ", " |") }
    }

    private fun cell(values: List<Double>): String {
        val sorted = values.sorted()
        return "%.3f (%.3f-%.3f)".format(sorted[sorted.size / 2], sorted.first(), sorted.last())
    }
}
