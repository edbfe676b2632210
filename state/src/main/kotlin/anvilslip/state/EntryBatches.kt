package anvilslip.state

/** Returns the first of these entries whose total size is at most [maxBytes], but at least one. */
internal fun List<LogEntry>.takeBytes(maxBytes: Long): List<LogEntry> {
    var bytes = 0L
    val tooMany =
        indexOfFirst { entry ->
            bytes += entry.sizeBytes
            bytes > maxBytes
        }
    return if (tooMany < 0) this else take(maxOf(tooMany, 1))
}

/** Splits these entries, in order, into batches of at most [maxBytes] or of a single entry. */
internal fun List<LogEntry>.batches(maxBytes: Long): Sequence<List<LogEntry>> =
    generateSequence(this) { rest -> rest.drop(rest.takeBytes(maxBytes).size) }
        .takeWhile { it.isNotEmpty() }
        .map { it.takeBytes(maxBytes) }
