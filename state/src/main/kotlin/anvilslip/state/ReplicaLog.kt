package anvilslip.state

/** The in-memory log: the latest snapshot and the retained entries, some of which the snapshot may cover too. */
internal class ReplicaLog(
    recovered: RecoveredData,
) {
    var snapshot: Snapshot? = recovered.snapshot
        private set
    private val entries = ArrayDeque(recovered.entries)
    private var baseIndex = entries.firstOrNull()?.let { it.index - 1 } ?: (recovered.snapshot?.index ?: 0)
    private var baseTerm = recovered.snapshot?.takeIf { it.index == baseIndex }?.term ?: 0

    /** Size of all entries in memory, in bytes. */
    var bytes: Long = recovered.entries.sumOf { it.sizeBytes.toLong() }
        private set

    val lastIndex: Long get() = baseIndex + entries.size
    val lastTerm: Long get() = entries.lastOrNull()?.term ?: baseTerm
    val firstIndex: Long get() = baseIndex + 1

    /** Returns the term of the entry at [index], or null if the entry was compacted away or is not in the log yet. */
    fun termAt(index: Long): Long? =
        when {
            index == 0L -> 0
            index == baseIndex -> baseTerm
            index == snapshot?.index -> snapshot?.term
            index in firstIndex..lastIndex -> entry(index).term
            else -> null
        }

    fun entry(index: Long): LogEntry = entries[(index - firstIndex).toInt()]

    fun from(
        index: Long,
        limit: Int,
    ): List<LogEntry> {
        val start = (index - firstIndex).toInt()
        if (start >= entries.size) return emptyList()
        val end = start + minOf(entries.size - start, limit)
        return entries.subList(start, end).toList()
    }

    fun append(added: List<LogEntry>) {
        check(added.isEmpty() || added.first().index == lastIndex + 1) { "appended entries do not follow the last entry of the log" }
        entries.addAll(added)
        bytes += added.sumOf { it.sizeBytes.toLong() }
    }

    fun truncateFrom(index: Long) {
        while (lastIndex >= index && entries.isNotEmpty()) bytes -= entries.removeLast().sizeBytes
    }

    fun install(installed: Snapshot) {
        snapshot = installed
        entries.clear()
        bytes = 0
        baseIndex = installed.index
        baseTerm = installed.term
    }

    /** Records a snapshot and drops the entries that it covers, except for the last [kept] ones or fewer that take up to [keptBytes]. */
    fun compact(
        taken: Snapshot,
        kept: Int,
        keptBytes: Long,
    ) {
        snapshot = taken
        val newBase = oldestKept(minOf(taken.index, lastIndex), kept, keptBytes) - 1
        while (baseIndex < newBase) {
            val dropped = entries.removeFirst()
            baseTerm = dropped.term
            bytes -= dropped.sizeBytes
            baseIndex++
        }
    }

    /** Returns the index of the first of the last [kept] entries up to [last] that together take up to [keptBytes]. */
    private fun oldestKept(
        last: Long,
        kept: Int,
        keptBytes: Long,
    ): Long {
        var oldest = last + 1
        var size = 0L
        while (oldest > firstIndex && last - oldest + 1 < kept) {
            size += entry(oldest - 1).sizeBytes
            if (size > keptBytes) break
            oldest--
        }
        return oldest
    }

    /** Returns the voters of the last membership entry, or of the snapshot if the log has no such entry. */
    fun latestVoters(): Set<ReplicaId> =
        entries.lastOrNull { it.payload is Payload.Membership }?.let { (it.payload as Payload.Membership).voters }
            ?: snapshot?.voters.orEmpty()

    fun latestMembershipIndex(): Long = entries.lastOrNull { it.payload is Payload.Membership }?.index ?: 0
}
