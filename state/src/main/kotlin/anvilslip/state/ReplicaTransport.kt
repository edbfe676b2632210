package anvilslip.state

/** Sends messages between replicas. Messages may be lost, duplicated, delayed or reordered. */
public fun interface ReplicaTransport {
    /**
     * Sends [message] without blocking. If the storage identity in [to] is empty, the message is for whichever replica runs on
     * that instance.
     */
    public fun send(
        to: ReplicaId,
        message: ReplicaMessage,
    )

    /** Connects to [to] ahead of the first message, which would otherwise wait for the connection. */
    public fun connect(to: ReplicaId) {}
}
