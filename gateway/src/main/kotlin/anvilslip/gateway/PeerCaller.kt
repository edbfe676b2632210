package anvilslip.gateway

import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import arrow.core.Either
import kotlin.time.Duration

/** Sends messages to other instances and waits for their answers. */
public fun interface PeerCaller {
    /** Sends [message] to [peer] and returns its answer, or an error if none arrives within [timeout]. */
    public suspend fun call(
        peer: String,
        message: PeerMessage,
        timeout: Duration,
    ): Either<PeerError, PeerMessage>
}
