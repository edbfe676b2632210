package anvilslip.cli

/** A plain-text table whose columns are padded to their widest cell. A `null` cell is printed as `-`. */
internal class Table(
    private vararg val header: String,
) {
    private val rows = ArrayList<List<String>>()

    /** Appends a row with one cell per column. */
    fun row(vararg cells: Any?) {
        rows += cells.map { it?.toString() ?: "-" }
    }

    override fun toString(): String {
        val lines = listOf(header.toList()) + rows
        val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
        return lines.joinToString("\n") { line -> line.indices.joinToString("  ") { line[it].padEnd(widths[it]) }.trimEnd() }
    }
}
