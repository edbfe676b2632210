package anvilslip.standin

/** Formats runs with several seeds as a Markdown table with the median, minimum and maximum of each metric. */
internal class SpreadTable<R>(
    private val keys: List<String>,
    private val figures: List<Pair<String, (R) -> Double>>,
    private val digits: Int,
) {
    /** Returns the table of [runs], with one row per key. */
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
