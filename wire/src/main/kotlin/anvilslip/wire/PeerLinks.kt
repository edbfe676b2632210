package anvilslip.wire

import arrow.core.Either
import kotlin.time.Duration

/** Connections through which an instance calls its peers. */
public interface PeerLinks {
    /** Opens a connection to [peer] at [address] and keeps it open. Does nothing if [peer] has one already. */
    public fun connectTo(
        peer: String,
        address: PeerAddress,
    )

    /** Closes the connection to [peer], if there is one, and does not open it again. */
    public fun disconnect(peer: String)

    /** Queues [message] for [peer] without waiting. It is dropped when the queue is full. */
    public fun send(
        peer: String,
        message: PeerMessage,
    )

    /** Sends [message] to [peer] and waits up to [timeout] for the answer. */
    public suspend fun call(
        peer: String,
        message: PeerMessage,
        timeout: Duration,
    ): Either<PeerError, PeerMessage>
}
