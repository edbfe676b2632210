package anvilslip.gateway

import anvilslip.kernel.Service
import anvilslip.policy.RunningRequest
import anvilslip.policy.ServeEvent
import anvilslip.policy.ServeStep
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Tells the leader what becomes of the requests that it admitted; a leader that is new is told of all that run. */
public class ProgressReporter(
    private val host: String,
    private val network: PeerNetwork,
    private val clusterView: ClusterView,
) : Service {
    override val name: String = NAME
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val events = Channel<ServeEvent>(QUEUE_LENGTH)
    private val running = ConcurrentHashMap<Long, () -> RunningRequest>()
    private var toldTerm = 0L

    override suspend fun start() {
        scope.launch {
            for (first in events) {
                delay(GATHER)
                report(first)
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Requests that were sent to [server] and have not ended. */
    public fun countRunning(server: String): Int = running.values.count { it().server == server }

    /** Request [number] was sent; [describe] tells of it as it is when it is called. */
    public fun recordSent(
        number: Long,
        describe: () -> RunningRequest,
    ) {
        running[number] = describe
    }

    /** Request [number] has come to [step]. */
    public fun recordStep(
        number: Long,
        step: ServeStep,
    ) {
        if (step != ServeStep.ANSWERING) running.remove(number)
        events.trySend(ServeEvent(number, step))
    }

    private fun report(first: ServeEvent) {
        val batch = ArrayList<ServeEvent>()
        batch += first
        while (batch.size < MAX_BATCH) batch += events.tryReceive().getOrNull() ?: break
        val leader = clusterView.leader
        val host = leader.host ?: return
        val told = if (leader.term > toldTerm) running.values.map { it() } else emptyList()
        toldTerm = leader.term
        network.send(host, PeerMessage.Progress(this.host, batch, told))
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "progress"
        private const val QUEUE_LENGTH = 4_096
        private const val MAX_BATCH = 256

        /** Events of so long are sent together. */
        private val GATHER = 8.milliseconds
    }
}
