package anvilslip.state

/**
 * Effects of one step of [ReplicaCore]. The caller must apply and sync the storage effects first, in the order of the fields;
 * only then may it send [messages] and complete the proposals in [applied].
 *
 * @property install snapshot that replaces the stored snapshot and log
 * @property truncateFrom index of the first entry to remove from the log
 * @property append entries to append to the log
 * @property vote term and vote to store
 * @property messages messages to send
 * @property applied entries that were applied to the replicated state
 * @property elections what happened in elections, for the log
 */
public data class ReplicaOutput(
    val install: Snapshot? = null,
    val truncateFrom: Long? = null,
    val append: List<LogEntry> = emptyList(),
    val vote: Vote? = null,
    val messages: List<Outgoing> = emptyList(),
    val applied: List<Applied> = emptyList(),
    val elections: List<ElectionEvent> = emptyList(),
) {
    /** A message to another replica. */
    public data class Outgoing(
        val to: ReplicaId,
        val message: ReplicaMessage,
    )

    /** A log entry that was applied; [outcome] is null for entries without a command. */
    public data class Applied(
        val index: Long,
        val term: Long,
        val outcome: Outcome?,
    )

    /** True if there are storage effects to sync. */
    public val needsSync: Boolean
        get() = install != null || truncateFrom != null || append.isNotEmpty() || vote != null
}
