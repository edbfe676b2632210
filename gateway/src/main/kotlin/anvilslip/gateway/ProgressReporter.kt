package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.Service
import anvilslip.kernel.SystemClock
import anvilslip.kernel.launchSupervised
import anvilslip.policy.LocalLoads
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestStep
import anvilslip.policy.RunningRequest
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Reports the progress of admitted requests to the leader, and all running requests to a new leader. */
public class ProgressReporter(
    private val host: String,
    private val network: PeerNetwork,
    private val clusterView: ClusterView,
    private val clock: Clock = SystemClock,
) : Service,
    LocalLoad {
    override val name: String = NAME
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val events = Channel<RequestEvent>(QUEUE_LENGTH)
    private val running = ConcurrentHashMap<Long, () -> RunningRequest>()
    private val loads = LocalLoads()
    private var lastReportedTerm = 0L

    override suspend fun start() {
        scope.launchSupervised("progress") { recordProgress ->
            for (first in events) {
                delay(BATCH_DELAY)
                sendBatch(first)
                recordProgress()
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    override fun countRunning(server: String): Int = synchronized(loads) { loads.countRunning(server) }

    override fun expectedWaitMillis(
        server: String,
        service: String,
        promptTokens: Int,
    ): Double = synchronized(loads) { loads.expectedWaitMillis(server, service, promptTokens) }

    /** Records that request [number] was sent; [describe] returns its state at the time of the call. */
    public fun recordSent(
        number: Long,
        describe: () -> RunningRequest,
    ) {
        running[number] = describe
    }

    /** Records that request [number], of which [promptTokens] have to be processed, is sent to [server] of [service]. */
    public fun recordLoad(
        number: Long,
        server: String,
        service: String,
        promptTokens: Int,
    ): Unit = synchronized(loads) { loads.recordSent(number, server, service, promptTokens, clock.elapsed()) }

    /** Records that request [number] has reached [step]; [outputTokens] is the length of its answer if it has ended and that is known. */
    public fun recordStep(
        number: Long,
        step: RequestStep,
        outputTokens: Int? = null,
    ) {
        if (step != RequestStep.ANSWERING) running.remove(number)
        synchronized(loads) {
            if (step == RequestStep.ANSWERING) loads.recordAnswering(number, clock.elapsed()) else loads.recordEnded(number)
        }
        events.trySend(RequestEvent(number, step, outputTokens))
    }

    private fun sendBatch(first: RequestEvent) {
        val batch = ArrayList<RequestEvent>()
        batch += first
        while (batch.size < MAX_BATCH) batch += events.tryReceive().getOrNull() ?: break
        val leader = clusterView.leader
        val host = leader.host ?: return
        val reported = if (leader.term > lastReportedTerm) running.values.map { it() } else emptyList()
        lastReportedTerm = leader.term
        network.send(host, PeerMessage.Progress(this.host, batch, reported))
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "progress"
        private const val QUEUE_LENGTH = 4_096
        private const val MAX_BATCH = 256

        /** Events that occur within this time are sent together. */
        private val BATCH_DELAY = 8.milliseconds
    }
}
