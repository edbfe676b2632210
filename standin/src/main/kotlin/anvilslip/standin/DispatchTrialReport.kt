package anvilslip.standin

/** Formats the results of [DispatchTrial]s as a table with the median, minimum and maximum over the seeds. */
public object DispatchTrialReport {
    private val columns: List<Pair<String, (DispatchTrialResult) -> Double>> =
        listOf(
            "worth" to { it.worth },
            "worth of all" to { it.worthOfAll },
            "worst 2 s" to { it.worstWorth },
            "late" to { it.late },
            "refused" to { it.refused },
            "unserved" to { it.unserved },
            "worst workspace" to { it.worstWorkspace },
            "worst kind" to { it.worstKind },
            "fetches/100" to { it.fetches },
            "read" to { it.readShare },
            "wait" to { it.meanWait },
            "over limit" to { it.requestsOverLimit },
        )

    private val priorityColumns: List<Pair<String, (TrialPriorityResult) -> Double>> =
        listOf(
            "worth" to { it.worth },
            "on time" to { it.onTime },
            "late" to { it.late },
            "unserved" to { it.unserved },
            "refusals" to { it.refusals },
        )

    /** Returns a Markdown table of [results] with one row per load and priority. */
    public fun priorityTable(results: List<DispatchTrialResult>): String {
        val rows = results.flatMap { result -> result.byPriority.map { (priority, of) -> listOf(result.load, "$priority") to of } }
        return SpreadTable(listOf("load", "priority"), priorityColumns, digits = 3).of(rows.groupBy({ it.first }, { it.second }))
    }

    /** Returns a Markdown table of [results] with one row per load. */
    public fun table(results: List<DispatchTrialResult>): String =
        SpreadTable(listOf("load"), columns, digits = 3).of(results.groupBy { listOf(it.load) })
}
