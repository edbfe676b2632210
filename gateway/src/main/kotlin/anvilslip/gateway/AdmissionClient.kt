package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.CancellationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Asks the leader to admit requests, and decides locally with [LocalDispatch] while no leader answers.
 *
 * @param withdraw reports that the request with this number has ended, to a leader that may have admitted it without an answer in time
 * @param delegates asks load delegates for adapters while cut off from control; null if they are not used
 */
public class AdmissionClient(
    private val peers: PeerCaller,
    private val clusterView: ClusterView,
    private val local: LocalDispatch,
    private val clock: Clock,
    private val withdraw: (Long) -> Unit,
    private val delegates: DelegateClient? = null,
) {
    /** A decision, with the term of the leader that made it. */
    public data class Result(
        val decision: DispatchDecision,
        /** Term of the leader that decided; null for a local decision. */
        val term: Long?,
    )

    private val log = EventLogger("admission")

    @Volatile
    private var leaderAvoidedUntil = Duration.ZERO

    /** When the leader answered last. */
    @Volatile
    private var lastAnswerAt = -LEADER_AVOIDANCE

    @Volatile
    private var isLeaderLost = false

    /** Returns the leader's decision on [request], or a local one if the leader cannot be reached. */
    public suspend fun admit(request: DispatchRequest): Result {
        val receivedAt = clock.elapsed()
        val leader = clusterView.leader.host?.takeIf { clock.elapsed() >= leaderAvoidedUntil && delegates?.isSilent(it) != true }
        val answer = leader?.let { askUntilDecided(it, request) }
        logLeaderAvailability(answer != null)
        if (answer != null) return answer
        delegates?.onLeaderSilent()
        val decision = decideLocally(request, receivedAt)
        if (leader != null && decision is DispatchDecision.Refuse) withdraw(request.number)
        return Result(decision, null)
    }

    /** Decides on [request] without a leader; asks a load delegate first if no known server holds the adapter. */
    private suspend fun decideLocally(
        request: DispatchRequest,
        receivedAt: Duration,
    ): DispatchDecision {
        val decision = local.decide(request, clock.elapsed())
        if (delegates == null || decision !is DispatchDecision.Refuse || decision.reason != DispatchRefusal.LOADING) return decision
        val timeout = request.targetMillis.milliseconds * DELEGATE_SHARE - (clock.elapsed() - receivedAt)
        return if (delegates.findHolder(request, timeout)) local.decide(request, clock.elapsed()) else decision
    }

    /** Asks again at once for as long as the request waits at the leader, and withdraws it if the client stops waiting. */
    private suspend fun askUntilDecided(
        knownLeader: String,
        request: DispatchRequest,
    ): Result? {
        val startedAt = clock.elapsed()
        try {
            var leader = knownLeader
            while (true) {
                val waited = (clock.elapsed() - startedAt).inWholeMilliseconds
                val remaining = request.remainingMillis - waited
                val current = request.copy(targetMillis = request.targetMillis - waited, remainingMillis = remaining)
                val answer = askLeader(leader, current)
                if (answer?.decision != DispatchDecision.Wait) return answer
                if (remaining <= 0) return null
                leader = clusterView.leader.host ?: leader
            }
        } catch (e: CancellationException) {
            withdraw(request.number)
            throw e
        }
    }

    private suspend fun askLeader(
        knownLeader: String,
        request: DispatchRequest,
    ): Result? {
        var leader = knownLeader
        for (attempt in 1..MAX_ATTEMPTS) {
            val limits = clusterView.serverLimits.report()
            val askedAt = clock.elapsed()
            val result =
                peers.call(
                    leader,
                    PeerMessage.Admit(
                        if (limits ==
                            null
                        ) {
                            request
                        } else {
                            request.copy(limits = limits)
                        },
                    ),
                    ANSWER_TIMEOUT,
                )
            val reply = result.getOrNull()
            if (limits != null && reply is PeerMessage.AdmitReply) clusterView.serverLimits.acknowledge(limits, reply.term)
            if (reply is PeerMessage.AdmitReply) return recordReply(request, reply)
            // A leader that has answered others meanwhile is late with this one only.
            val isSilent = result.leftOrNull() is PeerError.NoAnswer && lastAnswerAt < askedAt
            if (isSilent) leaderAvoidedUntil = clock.elapsed() + LEADER_AVOIDANCE
            val next = (reply as? PeerMessage.NotLeader)?.leader
            if (next == null || next == leader) return null
            leader = next
        }
        return null
    }

    private fun recordReply(
        request: DispatchRequest,
        reply: PeerMessage.AdmitReply,
    ): Result {
        lastAnswerAt = clock.elapsed()
        if (reply.decision is DispatchDecision.Send) local.recordGranted(request, clock.elapsed())
        return Result(reply.decision, reply.term)
    }

    private fun logLeaderAvailability(answered: Boolean) {
        if (answered == !isLeaderLost) return
        isLeaderLost = !answered
        log.info(
            if (answered) "leader_regained" else "leader_lost",
            "leader" to clusterView.leader.host,
            "term" to clusterView.leader.term,
            "avoided" to (clock.elapsed() < leaderAvoidedUntil),
        )
    }

    private companion object {
        /**
         * The leader holds a request for up to 250 ms while it waits for a free place or for engine orders. A leader that takes longer than
         * this is late with the request; it is taken for partitioned or frozen only if it answers nothing else meanwhile.
         */
        val ANSWER_TIMEOUT = 450.milliseconds

        /** How long the leader is not asked after it has answered nothing since a request that it did not answer in time. */
        val LEADER_AVOIDANCE = 300.milliseconds

        /** Share of a request's target within which a leader, then a load delegate, must have provided a server. */
        const val DELEGATE_SHARE = 0.5

        /** Instances asked for one request: the known leader, and the one that it redirects to. */
        const val MAX_ATTEMPTS = 2
    }
}
