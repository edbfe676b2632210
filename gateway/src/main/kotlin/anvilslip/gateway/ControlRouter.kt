package anvilslip.gateway

import anvilslip.state.Replica
import anvilslip.wire.PeerHandler
import anvilslip.wire.PeerMessage
import anvilslip.wire.receive

/** Routes messages from other instances to the services of a control instance. */
public class ControlRouter(
    private val replica: Replica,
    private val watchResponder: WatchResponder,
    private val dispatch: LeaderDispatch,
    private val operations: ControlOperations,
    private val streams: StreamRegistry,
    private val streamLookup: StreamLookup,
) : PeerHandler {
    override suspend fun handle(
        from: String,
        message: PeerMessage,
    ): PeerMessage =
        when (message) {
            is PeerMessage.Replica -> replica.receive(from, message).let { PeerMessage.Ack }
            is PeerMessage.Watch -> watchResponder.respond(from, message)
            is PeerMessage.SuspectUpdate -> watchResponder.recordSuspects(message).let { PeerMessage.Ack }
            is PeerMessage.Admit -> dispatch.admit(message.demand)
            is PeerMessage.Progress -> recordProgress(message)
            is PeerMessage.FindStream -> streamLookup.find(message)
            is PeerMessage.Propose -> propose(message)
            is PeerMessage.ReadDocument -> operations.readOnLeader().fold({ notLeader() }, { PeerMessage.DocumentReply(it) })
            is PeerMessage.Ping -> PeerMessage.Ack
            else -> PeerMessage.Failed("not understood here")
        }

    private fun recordProgress(message: PeerMessage.Progress): PeerMessage {
        streams.record(message.streams)
        dispatch.recordProgress(message)
        return PeerMessage.Ack
    }

    private suspend fun propose(message: PeerMessage.Propose): PeerMessage =
        replica.propose(message.command).fold({ PeerMessage.ProposeReply(error = it) }, { PeerMessage.ProposeReply(outcome = it) })

    private fun notLeader() = PeerMessage.NotLeader(replica.view.leader?.instance)
}
