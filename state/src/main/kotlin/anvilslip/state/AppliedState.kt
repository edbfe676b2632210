package anvilslip.state

/** The replicated state of one replica, and how far the entries of its log are committed and applied to it. */
internal class AppliedState(
    snapshot: Snapshot?,
) {
    /** State after all applied entries. */
    var state: ReplicatedState = snapshot?.state ?: ReplicatedState()
        private set

    /** Index of the last entry known to be committed. */
    var commit: Long = snapshot?.index ?: 0
        private set

    /** Index of the last entry that was applied. */
    var lastApplied: Long = commit
        private set

    /** Size of the entries that were applied since the latest snapshot, in bytes. */
    var bytesSinceSnapshot: Long = 0
        private set

    /** Commits the entries of [log] up to [index] and applies them; returns those that were applied. */
    fun commitUpTo(
        index: Long,
        log: ReplicaLog,
    ): List<ReplicaOutput.Applied> {
        commit = maxOf(commit, index)
        val applied = mutableListOf<ReplicaOutput.Applied>()
        while (lastApplied < commit) {
            val entry = log.entry(++lastApplied)
            bytesSinceSnapshot += entry.sizeBytes
            applied += ReplicaOutput.Applied(entry.index, entry.term, apply(entry.payload))
        }
        return applied
    }

    /** Replaces the state by that of [snapshot], whose entries are committed. */
    fun install(snapshot: Snapshot) {
        commit = snapshot.index
        lastApplied = snapshot.index
        state = snapshot.state
        bytesSinceSnapshot = 0
    }

    /** Records that a snapshot of the state was taken. */
    fun recordSnapshot() {
        bytesSinceSnapshot = 0
    }

    private fun apply(payload: Payload): Outcome? =
        when (payload) {
            is Payload.Apply -> state.apply(payload.command, payload.atMillis).also { state = it.state }.outcome
            is Payload.Membership, Payload.Noop -> null
        }
}
