package anvilslip.kernel

/**
 * Location of a finding: the name of a file or message, the path of the value, such as `$.peers[2].address`, and, if known, line and
 * column, both one-based.
 */
public data class Place(
    val source: String,
    val line: Int? = null,
    val column: Int? = null,
    val path: String = "$",
) {
    override fun toString(): String = listOfNotNull(source, line, column).joinToString(":") + " " + path
}
