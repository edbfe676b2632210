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

/** Finds the leader among the replicas and calls it. */
public class LeaderClient(
    private val network: PeerNetwork,
    replicas: Set<String>,
    private val clock: Clock,
) {
    private val candidates = replicas.sorted()

    /** The instance that answered as the leader last, or was named as such. */
    @Volatile
    public var leader: String = candidates.first()
        private set

    /**
     * Calls the leader. A call that was certainly not handled is repeated at the next candidate until [timeout] has passed.
     *
     * @return the answer, or [PeerError.NoAnswer] when the message may have been handled
     */
    public suspend fun call(
        message: PeerMessage,
        timeout: Duration,
        attemptTimeout: Duration = ATTEMPT,
    ): Either<PeerError, PeerMessage> {
        val deadline = clock.elapsed() + timeout
        while (true) {
            val asked = leader
            val left = deadline - clock.elapsed()
            if (!left.isPositive()) return PeerError.Unreachable(asked).left()
            val answer = network.call(asked, message, minOf(attemptTimeout, left))
            val final =
                answer.fold({
                    it
                        .takeIf { e ->
                            e is PeerError.NoAnswer
                        }?.left()
                }, { it.takeIf { m -> m !is PeerMessage.NotLeader }?.right() })
            if (final != null) {
                if (final.isLeft()) tryNext(asked, null)
                return final
            }
            tryNext(asked, (answer.getOrNull() as? PeerMessage.NotLeader)?.leader)
            delay(RETRY_DELAY)
        }
    }

    private fun tryNext(
        asked: String,
        named: String?,
    ) {
        if (leader != asked) return
        leader = named?.takeIf { it != asked } ?: candidates[(candidates.indexOf(asked) + 1) % candidates.size]
    }

    private companion object {
        val ATTEMPT = 1000.milliseconds
        val RETRY_DELAY = 30.milliseconds
    }
}
