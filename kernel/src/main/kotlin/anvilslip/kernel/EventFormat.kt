package anvilslip.kernel

/** Characters besides ASCII letters and digits that a value may contain without being quoted. */
private const val PLAIN_SYMBOLS = "_.:/@+-$"

/**
 * Formats an event as one line `event=NAME key=value ...`. Fields with a null value are omitted. Values with special characters are
 * quoted and escaped, so that a value cannot forge another field or line.
 */
public fun formatEvent(
    event: String,
    fields: List<Pair<String, Any?>>,
): String {
    val line = StringBuilder("event=").append(escapeValue(event))
    for ((key, value) in fields) {
        if (value != null) {
            line
                .append(' ')
                .append(key)
                .append('=')
                .append(escapeValue(value.toString()))
        }
    }
    return line.toString()
}

private fun escapeValue(text: String): String = if (isPlain(text)) text else text.map(::escapeCharacter).joinToString("", "\"", "\"")

private fun isPlain(text: String): Boolean =
    text.isNotEmpty() && text.all { it in 'a'..'z' || it in '0'..'9' || it in 'A'..'Z' || it in PLAIN_SYMBOLS }

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
