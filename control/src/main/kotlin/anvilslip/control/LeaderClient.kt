package anvilslip.control

import anvilslip.kernel.Clock
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Calls the leader, which it finds by trying the replicas in turn. */
public class LeaderClient(
    private val network: PeerNetwork,
    replicas: Set<String>,
    private val clock: Clock,
) {
    private val candidates = replicas.sorted()

    /** The instance assumed to be the leader: the one that last answered as the leader or was named as the leader by another replica. */
    @Volatile
    public var leader: String = candidates.first()
        private set

    /**
     * Calls the leader. A call that was certainly not handled is retried with the next candidate until [timeout] has passed.
     *
     * @param attemptTimeout how long to wait for the answer of one candidate
     * @return the answer; [PeerError.NoAnswer] when the message may have been handled, [PeerError.Unreachable] when it was not
     */
    public suspend fun call(
        message: PeerMessage,
        timeout: Duration,
        attemptTimeout: Duration = DEFAULT_ATTEMPT_TIMEOUT,
    ): Either<PeerError, PeerMessage> {
        val deadline = clock.elapsed() + timeout
        while (true) {
            val candidate = leader
            val remaining = deadline - clock.elapsed()
            if (!remaining.isPositive()) return PeerError.Unreachable(candidate).left()
            val answer = network.call(candidate, message, minOf(attemptTimeout, remaining))
            val result =
                answer.fold({
                    it
                        .takeIf { e ->
                            e is PeerError.NoAnswer
                        }?.left()
                }, { it.takeIf { m -> m !is PeerMessage.NotLeader }?.right() })
            if (result != null) {
                if (result.isLeft()) switchLeader(candidate, null)
                return result
            }
            switchLeader(candidate, (answer.getOrNull() as? PeerMessage.NotLeader)?.leader)
            delay(RETRY_DELAY)
        }
    }

    /** Replaces [failed] as the assumed leader by [named], or by the next candidate, unless another call has replaced it already. */
    private fun switchLeader(
        failed: String,
        named: String?,
    ) {
        if (leader != failed) return
        leader = named?.takeIf { it != failed } ?: candidates[(candidates.indexOf(failed) + 1) % candidates.size]
    }

    private companion object {
        val DEFAULT_ATTEMPT_TIMEOUT = 1000.milliseconds
        val RETRY_DELAY = 30.milliseconds
    }
}
