package anvilslip.gateway

import anvilslip.state.Replica
import anvilslip.wire.PeerHandler
import anvilslip.wire.PeerMessage

/** Hands messages of other instances to the services of a control instance. */
public class ControlRouter(
    private val replica: Replica,
    private val watchers: WatchResponder,
    private val dispatch: LeaderDispatch,
    private val operations: ControlOperations,
) : PeerHandler {
    override suspend fun handle(
        from: String,
        message: PeerMessage,
    ): PeerMessage =
        when (message) {
            is PeerMessage.Replica -> receive(from, message)
            is PeerMessage.Watch -> watchers.answer(from, message)
            is PeerMessage.Admit -> dispatch.admit(message.demand)
            is PeerMessage.Progress -> dispatch.progress(message).let { PeerMessage.Ack }
            is PeerMessage.Propose -> propose(message)
            is PeerMessage.ReadDocument -> operations.readHere().fold({ notLeader() }, { PeerMessage.DocumentReply(it) })
            is PeerMessage.Ping -> PeerMessage.Ack
            else -> PeerMessage.Failed("not understood here")
        }

    private fun receive(
        from: String,
        message: PeerMessage.Replica,
    ): PeerMessage {
        val own = replica.view.id
        val isMeant = message.to == own || message.to.storage.isEmpty()
        if (message.from.instance == from && isMeant) replica.receive(message.from, message.message)
        return PeerMessage.Ack
    }

    private suspend fun propose(message: PeerMessage.Propose): PeerMessage =
        replica.propose(message.command).fold({ PeerMessage.ProposeReply(error = it) }, { PeerMessage.ProposeReply(outcome = it) })

    private fun notLeader() = PeerMessage.NotLeader(replica.view.leader?.instance)
}
