package anvilslip.state

import kotlinx.serialization.Serializable

/** A record of the log file. The records carry the full class names of the subtypes, so these must not be renamed or moved. */
@Serializable
internal sealed interface StoredRecord {
    /** Appends [entries] to the log. */
    @Serializable
    data class Entries(
        val entries: List<LogEntry>,
    ) : StoredRecord

    /** Removes all entries from index [from] on. */
    @Serializable
    data class Truncate(
        val from: Long,
    ) : StoredRecord

    /** Replaces the stored term and vote. */
    @Serializable
    data class Voted(
        val vote: Vote,
    ) : StoredRecord
}
