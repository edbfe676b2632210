package anvilslip.state

/** Durable storage of a replica. Each call syncs the data that it wrote before it returns, and throws [StorageException] on failure. */
public interface Storage : AutoCloseable {
    /** Reads the stored data; creates a new identity if the storage is empty. */
    public fun recover(): RecoveredData

    /** Applies the storage effects of [output]. */
    public fun store(output: ReplicaOutput)

    /** Replaces the log with [snapshot] and the entries that follow it, [tail]. */
    public fun compact(
        snapshot: Snapshot,
        tail: List<LogEntry>,
    )
}
