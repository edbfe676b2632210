package anvilslip.state

/** Durable storage of one replica. Each call returns only after what it wrote is synced, or throws [StorageException]. */
public interface Storage : AutoCloseable {
    /** Reads what is stored; creates a new identity when there is nothing. */
    public fun recover(): RecoveredData

    /** Carries out the storage effects of [output]. */
    public fun store(output: ReplicaOutput)

    /** Replaces the log up to [snapshot]; [tail] are the entries to keep after it. */
    public fun compact(
        snapshot: Snapshot,
        tail: List<LogEntry>,
    )
}
