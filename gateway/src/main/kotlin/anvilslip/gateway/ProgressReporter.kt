package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.Service
import anvilslip.kernel.SystemClock
import anvilslip.kernel.launchSupervised
import anvilslip.policy.LeaderLateness
import anvilslip.policy.LocalLoads
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestStep
import anvilslip.policy.RunningRequest
import anvilslip.policy.StreamRecord
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
    private val streams: StreamRegistry = StreamRegistry(clock),
    private val lateness: LeaderLateness = LeaderLateness(),
) : Service,
    LocalLoad {
    private sealed interface Report {
        data class Step(
            val event: RequestEvent,
        ) : Report

        data class Stream(
            val record: StreamRecord,
        ) : Report

        data class Sent(
            val request: RunningRequest,
        ) : Report

        data object NewLeader : Report
    }

    override val name: String = NAME
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val reports = Channel<Report>(QUEUE_LENGTH)
    private val running = ConcurrentHashMap<Long, () -> RunningRequest>()
    private val loads = LocalLoads()
    private var lastReportedTerm = 0L

    override suspend fun start() {
        scope.launchSupervised("progress") { recordProgress ->
            for (first in reports) {
                delay(if (lateness.isLate()) LATE_BATCH_DELAY else BATCH_DELAY)
                sendBatch(first)
                recordProgress()
            }
        }
        scope.launchSupervised("progress to new leaders") { reportToNewLeaders(it) }
    }

    /** Has a new leader told at once of the streams that clients may resume, not only with the next event. */
    private suspend fun reportToNewLeaders(recordProgress: () -> Unit) {
        var reportedTerm = clusterView.leader.term
        while (true) {
            val seen = clusterView.changeCount
            val term = clusterView.leader.term
            if (term > reportedTerm) reports.trySend(Report.NewLeader)
            reportedTerm = term
            recordProgress()
            clusterView.awaitChange(seen)
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

    /** Records that [request] was sent by a decision of this instance, of which the leader does not know yet. */
    public fun recordSentLocally(request: RunningRequest) {
        reports.trySend(Report.Sent(request))
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
        reports.trySend(Report.Step(RequestEvent(number, step, outputTokens)))
    }

    /** Records the origin of a stream that its client may resume. */
    public fun recordStream(record: StreamRecord) {
        streams.record(listOf(record))
        reports.trySend(Report.Stream(record))
    }

    private fun sendBatch(first: Report) {
        val batch = ArrayList<Report>()
        batch += first
        while (batch.size < MAX_BATCH) batch += reports.tryReceive().getOrNull() ?: break
        val leader = clusterView.leader
        val host = leader.host ?: return
        val isNew = leader.term > lastReportedTerm
        val message =
            PeerMessage.Progress(
                entry = this.host,
                events = batch.filterIsInstance<Report.Step>().map { it.event },
                running = sentLocally(batch) + if (isNew) running.values.map { it() } else emptyList(),
                streams = if (isNew) streams.unexpired() else batch.filterIsInstance<Report.Stream>().map { it.record },
            )
        lastReportedTerm = leader.term
        network.send(host, message)
    }

    /** Comes before the other running requests, since it alone states the charge, and the leader skips requests that it knows. */
    private fun sentLocally(batch: List<Report>): List<RunningRequest> = batch.filterIsInstance<Report.Sent>().map { it.request }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "progress"
        private const val QUEUE_LENGTH = 4_096
        private const val MAX_BATCH = 256

        /** Events that occur within this time are sent together. */
        private val BATCH_DELAY = 8.milliseconds

        /** As [BATCH_DELAY], for a leader that is late with its messages. */
        private val LATE_BATCH_DELAY = 100.milliseconds
    }
}
