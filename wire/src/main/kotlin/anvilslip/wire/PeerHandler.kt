package anvilslip.wire

/** Handles messages from other instances. */
public fun interface PeerHandler {
    /** Handles [message] from instance [from] and returns the answer, which is discarded if the sender expects none. */
    public suspend fun handle(
        from: String,
        message: PeerMessage,
    ): PeerMessage
}
