package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.LeaderLateness
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Asks the leader to admit requests, and decides locally with [LocalDispatch] while no leader answers.
 *
 * @param withdraw reports that the request with this number has ended, to a leader that may have admitted it without an answer in time
 * @param lateness whether the leader is late, so that it is asked for less
 * @param delegates asks load delegates for adapters while cut off from control; null if they are not used
 */
public class AdmissionClient(
    private val peers: PeerCaller,
    private val clusterView: ClusterView,
    private val local: LocalDispatch,
    private val clock: Clock,
    private val withdraw: (Long) -> Unit,
    private val delegates: DelegateClient? = null,
    private val lateness: LeaderLateness = LeaderLateness(),
) {
    /** A decision, with the term of the leader that made it. */
    public data class Result(
        val decision: DispatchDecision,
        /** Term of the leader that decided; null for a local decision. */
        val term: Long?,
    )

    private val log = EventLogger("admission")
    private val overLimit = OverLimitAnswers()
    private val turns = QuestionTurns()

    @Volatile
    private var leaderAvoidedUntil = Duration.ZERO

    /** When the leader answered last. */
    @Volatile
    private var lastAnswerAt = -LEADER_AVOIDANCE

    @Volatile
    private var isLeaderLost = false

    /**
     * Returns the leader's decision on [request]. The decision is a local one if the leader cannot be reached, or if it is late and a known
     * server that has what the request needs is expected to answer in time; a late leader is asked for what only it can do.
     */
    public suspend fun admit(request: DispatchRequest): Result {
        val receivedAt = clock.elapsed()
        val leader = clusterView.leader.host?.takeIf { clock.elapsed() >= leaderAvoidedUntil && delegates?.isSilent(it) != true }
        val isDecidable = leader != null && local.knowsServer(request)
        if (leader != null) decideForLateLeader(request, isDecidable, receivedAt)?.let { return it }
        val answer = leader?.let { askUntilDecided(it, request, isDecidable) }
        if (answer != null) overLimit.record(request, answer, clock.elapsed())
        logLeaderAvailability(answer != null)
        if (answer != null) return answer
        delegates?.onLeaderSilent()
        val decision = decideLocally(request, receivedAt)
        if (leader != null && decision is DispatchDecision.Refuse) withdraw(request.number)
        return Result(decision, null)
    }

    private fun recordAnswerTime(time: Duration) {
        val wasLate = lateness.isLate()
        lateness.recordAnswer(time, clock.elapsed())
        val isLate = lateness.isLate()
        if (isLate != wasLate) log.info(if (isLate) "leader_late" else "leader_prompt", "took_ms" to time.inWholeMilliseconds)
    }

    /** Spares a late leader the question about [request] if this instance can decide on it, or knows the answer. */
    private fun decideForLateLeader(
        request: DispatchRequest,
        isDecidable: Boolean,
        now: Duration,
    ): Result? {
        if (!lateness.isLate() || (isDecidable && lateness.mayAsk(now))) return null
        val decision = if (isDecidable) local.decideIfSoon(request, now) else null
        return decision?.let { Result(it, null) } ?: overLimit.refusalOf(request, now)
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
        isDecidable: Boolean,
    ): Result? {
        val startedAt = clock.elapsed()
        try {
            var leader = knownLeader
            while (true) {
                val waited = (clock.elapsed() - startedAt).inWholeMilliseconds
                val remaining = request.remainingMillis - waited
                val current = request.copy(targetMillis = request.targetMillis - waited, remainingMillis = remaining)
                val answer = askLeader(leader, current, isDecidable)
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
        isDecidable: Boolean,
    ): Result? {
        var leader = knownLeader
        for (attempt in 1..MAX_ATTEMPTS) {
            val limits = clusterView.serverLimits.report()
            val askedAt = clock.elapsed()
            val question = PeerMessage.Admit(if (limits == null) request else request.copy(limits = limits))
            val result = callInTurn(leader, question)
            if (isDecidable && result?.isWait != true) recordAnswerTime(clock.elapsed() - askedAt)
            val reply = (result ?: return null).getOrNull()
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

    /**
     * Sends [question] once few enough others of this instance are unanswered, so that a leader which is short of processor time has no more
     * questions than it can answer in time. Returns null if that takes too long; the leader does not know the question then.
     */
    private suspend fun callInTurn(
        leader: String,
        question: PeerMessage.Admit,
    ): Either<PeerError, PeerMessage>? {
        val startedAt = clock.elapsed()
        if (!turns.await(TURN_TIMEOUT)) return null
        val askedAt = clock.elapsed()
        var answerTime: Duration? = null
        try {
            val result = peers.call(leader, question, ANSWER_TIMEOUT - (askedAt - startedAt))
            answerTime = if (result.isWait) Duration.ZERO else clock.elapsed() - askedAt
            return result
        } finally {
            turns.end(answerTime, clock.elapsed())
        }
    }

    /** True if the leader makes the request wait, for an engine or for room. It is not late then. */
    private val Either<PeerError, PeerMessage>.isWait: Boolean
        get() = (getOrNull() as? PeerMessage.AdmitReply)?.decision == DispatchDecision.Wait

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

        /** How long a question waits for its turn; the rest of [ANSWER_TIMEOUT] is left for the answer. */
        val TURN_TIMEOUT = 200.milliseconds

        /** How long the leader is not asked after it has answered nothing since a request that it did not answer in time. */
        val LEADER_AVOIDANCE = 300.milliseconds

        /** Share of a request's target within which a leader, then a load delegate, must have provided a server. */
        const val DELEGATE_SHARE = 0.5

        /** Instances asked for one request: the known leader, and the one that it redirects to. */
        const val MAX_ATTEMPTS = 2
    }
}
