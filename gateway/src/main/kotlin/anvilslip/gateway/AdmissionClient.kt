package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRequest
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Has requests admitted by the leader, or here while there is none that answers. */
public class AdmissionClient(
    private val network: PeerNetwork,
    private val clusterView: ClusterView,
    private val local: LocalDispatch,
    private val clock: Clock,
) {
    /** A decision and who made it. */
    public data class Result(
        val decision: DispatchDecision,
        /** Term of the leader that decided; null when it was decided here. */
        val term: Long?,
    )

    private val log = EventLogger("admission")

    @Volatile
    private var avoidedUntil = Duration.ZERO

    @Volatile
    private var isLeaderLost = false

    /** Decides on [demand]. */
    public suspend fun admit(demand: DispatchRequest): Result {
        val answer = askLeader(demand)
        noteLeader(answer != null)
        return answer ?: Result(local.decide(demand, clock.elapsed()), null)
    }

    private suspend fun askLeader(demand: DispatchRequest): Result? {
        var leader = clusterView.leader.host ?: return null
        if (clock.elapsed() < avoidedUntil) return null
        for (round in 1..ROUNDS) {
            val asked = network.call(leader, PeerMessage.Admit(demand), ANSWER_TIMEOUT)
            val reply = asked.getOrNull()
            if (reply is PeerMessage.AdmitReply) return Result(reply.decision, reply.term)
            if (asked.leftOrNull() is PeerError.NoAnswer) avoidedUntil = clock.elapsed() + AVOIDANCE
            val next = (reply as? PeerMessage.NotLeader)?.leader
            if (next == null || next == leader) return null
            leader = next
        }
        return null
    }

    private fun noteLeader(answered: Boolean) {
        if (answered == !isLeaderLost) return
        isLeaderLost = !answered
        log.info(if (answered) "leader_regained" else "leader_lost", "leader" to clusterView.leader.host, "term" to clusterView.leader.term)
    }

    private companion object {
        /** A request waits up to 100 ms at the leader, besides orders; one that takes longer is cut off or frozen. */
        val ANSWER_TIMEOUT = 450.milliseconds
        val AVOIDANCE = 300.milliseconds
        const val ROUNDS = 2
    }
}
