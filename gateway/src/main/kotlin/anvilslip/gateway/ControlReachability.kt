package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.launchSupervised
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Determines whether this entry instance is cut off from a majority of the control instances. From the moment a leader does not answer,
 * it pings all known control instances in rounds, until a majority answers. Control instances that are busy but run answer pings.
 */
public class ControlReachability(
    private val peers: PeerCaller,
    private val clusterView: ClusterView,
    private val clock: Clock,
    private val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default),
) : Service {
    private class CutOff(
        val term: Long,
        val confirmedAt: Duration,
    )

    override val name: String = NAME
    private val log = EventLogger("reachability")
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var cutOff: CutOff? = null

    private val deciding = MutableStateFlow(false)

    /** The control instances that answered in the last round. */
    @Volatile
    private var lastAnswered = emptySet<String>()

    /** True from a leader's silence until a majority has answered or this instance is found to be cut off. */
    public val isDeciding: Boolean get() = deciding.value

    /**
     * The last known term if this instance is cut off from a majority of the control instances and knows no leader of a later term
     * since; null otherwise.
     */
    public val cutOffTerm: Long?
        get() {
            val state = cutOff ?: return null
            // A round that is overdue means that this process was suspended, so the last one says nothing about the present.
            if (clock.elapsed() - state.confirmedAt > MAX_AGE) return null
            return state.term.takeIf { it > 0 && it == clusterView.leader.term }
        }

    override suspend fun start() {
        scope.launchSupervised("control-reachability") { recordProgress ->
            while (true) {
                wakeUps.receive()
                probe(recordProgress)
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Records that no leader has answered an admission. */
    public fun onLeaderSilent() {
        if (cutOff != null || isDeciding) return
        deciding.value = true
        wakeUps.trySend(Unit)
    }

    /** Waits up to [timeout] while [isDeciding]. */
    public suspend fun awaitDecision(timeout: Duration) {
        withTimeoutOrNull(timeout) { deciding.first { !it } }
    }

    /** True if this instance is cut off and [control] did not answer in the last round, so that asking it costs time in vain. */
    public fun isSilent(control: String): Boolean = cutOffTerm != null && control !in lastAnswered

    /** Pings the control instances in rounds until a majority answers in one. */
    private suspend fun probe(recordProgress: () -> Unit) {
        var term = clusterView.leader.term
        var silentRounds = 0
        deciding.value = true
        try {
            while (true) {
                val startedAt = clock.elapsed()
                if (pingMajority()) return
                if (clusterView.leader.term != term) silentRounds = 0
                term = clusterView.leader.term
                if (++silentRounds >= SILENT_ROUNDS) recordCutOff(term)
                recordProgress()
                delay(ROUND_INTERVAL - (clock.elapsed() - startedAt))
            }
        } finally {
            endCutOff()
        }
    }

    /** Pings all control instances; true as soon as a majority of them answers, which ends a cut-off. */
    private suspend fun pingMajority(): Boolean {
        val hosts = clusterView.controlHosts
        val majority = hosts.size / 2 + 1
        val answered = ConcurrentHashMap.newKeySet<String>()
        val answers = AtomicInteger()
        coroutineScope {
            launch {
                val round = coroutineContext.job
                for (host in hosts) {
                    launch {
                        val isAnswered = peers.call(host, PeerMessage.Ping, PING_TIMEOUT).isRight()
                        if (isAnswered) answered += host
                        if (isAnswered && answers.incrementAndGet() == majority) {
                            endCutOff()
                            round.cancel()
                        }
                    }
                }
            }
        }
        lastAnswered = answered
        return answers.get() >= majority
    }

    private fun recordCutOff(term: Long) {
        if (cutOff?.term != term) log.info("control_cut_off", "term" to term, "controls" to clusterView.controlHosts.joinToString(","))
        cutOff = CutOff(term, clock.elapsed())
        deciding.value = false
    }

    private fun endCutOff() {
        if (cutOff != null) log.info("control_majority_reached", "term" to clusterView.leader.term)
        cutOff = null
        deciding.value = false
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "control-reachability"

        /** Control instances answer pings before any other work, so one that runs answers within a few milliseconds. */
        private val PING_TIMEOUT = 250.milliseconds

        /** Time from the start of one round of pings to the start of the next. */
        internal val ROUND_INTERVAL = 300.milliseconds

        /** One round can fail because connections are being replaced. */
        private const val SILENT_ROUNDS = 2

        /** A round ends at most [ROUND_INTERVAL] + [PING_TIMEOUT] after the one before; the rest allows for delays in scheduling. */
        private val MAX_AGE = ROUND_INTERVAL + PING_TIMEOUT * 2
    }
}
