package anvilslip.gateway

import anvilslip.policy.DispatchDecision
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerError
import anvilslip.wire.PeerLinks
import anvilslip.wire.PeerMessage
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration

/** Answers requests for admission with [decide] within the process; other messages are encoded and discarded. */
internal class SyntheticLeaderLinks(
    private val decide: () -> DispatchDecision,
) : PeerLinks {
    override fun connectTo(
        peer: String,
        address: PeerAddress,
    ) = Unit

    override fun disconnect(peer: String) = Unit

    override fun send(
        peer: String,
        message: PeerMessage,
    ) {
        roundTrip(message)
    }

    override suspend fun call(
        peer: String,
        message: PeerMessage,
        timeout: Duration,
    ): Either<PeerError, PeerMessage> =
        if (roundTrip(message) is PeerMessage.Admit) {
            roundTrip(PeerMessage.AdmitReply(TERM, decide())).right()
        } else {
            PeerError.Unreachable(peer).left()
        }

    private companion object {
        const val TERM = 1L
    }
}
