package anvilslip.state

/** What storage held at start: the latest snapshot, the entries after it and the vote. */
public data class RecoveredData(
    val identity: String,
    val snapshot: Snapshot? = null,
    val entries: List<LogEntry> = emptyList(),
    val vote: Vote = Vote(),
) {
    /** True when nothing was ever stored, so the replica must not vote before it is told who votes. */
    public val isEmpty: Boolean get() = snapshot == null && entries.isEmpty() && vote.term == 0L
}
