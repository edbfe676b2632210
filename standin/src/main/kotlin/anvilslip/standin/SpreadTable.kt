package anvilslip.standin

/** A Markdown table of runs with several seeds: the median of each figure, with the lowest and highest behind it. */
internal class SpreadTable<R>(
    private val keys: List<String>,
    private val figures: List<Pair<String, (R) -> Double>>,
    private val digits: Int,
) {
    /** The table of [runs], each group of them under its key. */
    fun of(runs: Map<List<String>, List<R>>): String {
        val head = keys + figures.map { it.first }
        val rows = runs.map { (key, group) -> key + figures.map { (_, figure) -> cell(group.map(figure)) } }
        return (listOf(head, head.map { "---" }) + rows).joinToString("\n") { it.joinToString(" | ", "| ", " |") }
    }

    private fun cell(values: List<Double>): String {
        val sorted = values.sorted()
        val format = "%.${digits}f"
        return "$format ($format-$format)".format(sorted[sorted.size / 2], sorted.first(), sorted.last())
    }
}
