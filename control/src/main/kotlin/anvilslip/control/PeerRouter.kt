package anvilslip.control

import anvilslip.kernel.Timeline
import anvilslip.state.Replica
import anvilslip.wire.PeerHandler
import anvilslip.wire.PeerMessage
import anvilslip.wire.receive

/**
 * Dispatches messages from other instances to the services that handle them. [replica] and [leader] are null on an instance without
 * a data folder.
 */
public class PeerRouter(
    private val replica: Replica?,
    private val leader: LeaderService?,
    private val timeline: Timeline,
) : PeerHandler {
    override suspend fun handle(
        from: String,
        message: PeerMessage,
    ): PeerMessage =
        when (message) {
            is PeerMessage.Replica -> {
                replica?.receive(from, message)
                PeerMessage.Ack
            }

            is PeerMessage.TimelineRequest -> {
                PeerMessage.TimelineReply(timeline.since(message.since, message.limit))
            }

            is PeerMessage.Ping -> {
                PeerMessage.Ack
            }

            else -> {
                leader?.handle(message) ?: PeerMessage.NotLeader(null)
            }
        }
}
