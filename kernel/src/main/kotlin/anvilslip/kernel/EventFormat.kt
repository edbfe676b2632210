package anvilslip.kernel

private val PLAIN = Regex("[A-Za-z0-9_.:/@+\\-$]+")

/**
 * Formats an event as one line `event=NAME key=value ...`. Fields with a null value are omitted. Values with special characters are
 * quoted and escaped, so that a value cannot forge another field or line.
 */
public fun formatEvent(
    event: String,
    fields: List<Pair<String, Any?>>,
): String {
    val pairs = listOf("event" to event) + fields
    return pairs
        .filter { it.second != null }
        .joinToString(" ") { (key, value) -> "$key=${escapeValue(value.toString())}" }
}

private fun escapeValue(text: String): String = if (PLAIN.matches(text)) text else text.map(::escapeCharacter).joinToString("", "\"", "\"")

private fun escapeCharacter(c: Char): String =
    when {
        c == '"' -> "\\\""
        c == '\\' -> "\\\\"
        c == '\n' -> "\\n"
        c == '\r' -> "\\r"
        c == '\t' -> "\\t"
        c.isISOControl() || c == '\u2028' || c == '\u2029' -> "\\u%04x".format(c.code)
        else -> c.toString()
    }
