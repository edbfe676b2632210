package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.policy.StreamOrigin
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Finds out, on an entry instance, where a stream began that a client resumes. */
internal class StreamResolver(
    private val streams: StreamRegistry,
    private val peers: PeerCaller,
    private val leader: () -> String?,
    private val clock: Clock,
) {
    /** Where a stream began, and who knew it. */
    class Result(
        /** Null if it is not known. */
        val origin: StreamOrigin?,
        val source: Source,
    )

    enum class Source { OWN, LEADER, NO_LEADER }

    /** Returns the origin of the stream that [exchange] resumes, as this instance or the leader knows it; waits up to [timeout] for a leader. */
    suspend fun resolve(
        exchange: Exchange,
        timeout: Duration,
    ): Result {
        val attemptId = exchange.request.resumedAttemptId
        attemptId?.let(streams::find)?.let { return Result(it, Source.OWN) }
        val services =
            exchange.route.split
                .filter { it.weight > 0 }
                .mapTo(HashSet()) { it.service }
        val question = PeerMessage.FindStream(attemptId, services, exchange.route.timeout.inWholeMilliseconds)
        val deadline = clock.elapsed() + timeout
        var asked: String? = null
        while (true) {
            val answer = (asked ?: leader())?.let { peers.call(it, question, ANSWER_TIMEOUT).getOrNull() }
            if (answer is PeerMessage.FindStreamReply && !answer.mayBeReported) return Result(answer.origin, Source.LEADER)
            asked = (answer as? PeerMessage.NotLeader)?.leader
            if (clock.elapsed() >= deadline) return Result(null, Source.NO_LEADER)
            delay(POLL_INTERVAL)
        }
    }

    private companion object {
        val ANSWER_TIMEOUT = 450.milliseconds
        val POLL_INTERVAL = 50.milliseconds
    }
}
