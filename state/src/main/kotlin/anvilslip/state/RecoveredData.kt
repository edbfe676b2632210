package anvilslip.state

/** Data that [Storage.recover] read: the identity of the replica, the latest snapshot, the entries after it and the vote. */
public data class RecoveredData(
    val identity: String,
    val snapshot: Snapshot? = null,
    val entries: List<LogEntry> = emptyList(),
    val vote: Vote = Vote(),
) {
    /** True if nothing was ever stored; such a replica must not vote before it knows the voters. */
    public val isEmpty: Boolean get() = snapshot == null && entries.isEmpty() && vote.term == 0L
}
