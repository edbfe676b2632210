package anvilslip.gateway

import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.launchSupervised
import anvilslip.policy.Admission
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRequest
import anvilslip.policy.Dispatcher
import anvilslip.policy.EngineInventory
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestStep
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.wire.PeerFormat
import anvilslip.wire.PeerMessage
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.yield
import kotlinx.serialization.ExperimentalSerializationApi
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Triggers JIT compilation of the admission path with synthetic requests before traffic arrives, since interpreted code can delay the
 * renewal of the lease. Uses a [Dispatcher] of its own whose decisions are discarded. Runs only if no configuration is stored when the
 * instance starts.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class DispatchWarmUp(
    private val clusterView: ClusterView,
    private val options: DispatchOptions,
    /** Whether a configuration is stored on this instance, confirmed or not. */
    private val hasStoredConfiguration: () -> Boolean = { false },
) : Service {
    override val name: String = "dispatch-warm-up"
    private val log = EventLogger("warm-up")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    override suspend fun start() {
        if (hasStoredConfiguration()) return
        scope.launchSupervised("dispatch-warm-up") { run() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Waits for a configuration and for servers, then decides on [REQUESTS] requests; returns the number of those that were sent. */
    suspend fun run(): Int {
        while (clusterView.active.configuration == null || clusterView.servers().isEmpty()) delay(POLL_INTERVAL)
        delay(REPORT_PERIOD)
        val configuration = clusterView.active.configuration ?: return 0
        val sent = SyntheticWorkload(configuration, clusterView.servers(), options).decideAll()
        log.info("warm_up_completed", "requests" to REQUESTS, "sent" to sent)
        return sent
    }

    /** The synthetic requests, in virtual time. */
    private class SyntheticWorkload(
        configuration: ServingConfiguration,
        private val servers: List<ServerReport>,
        options: DispatchOptions,
    ) {
        private val dispatcher = Dispatcher(options, Duration.ZERO, hasPredecessor = false)
        private var now = Duration.ZERO

        init {
            // Without the limits of workspaces, whose names the synthetic requests do not state.
            dispatcher.configure(configuration.copy(workspaces = emptyList()), emptyMap(), now)
            dispatcher.updateServers(servers, now)
            for (engine in dispatcher.enginesToQuery(now)) {
                dispatcher.recordInventory(engine.id, EngineInventory(0, engine.models.orEmpty()), now)
            }
        }

        suspend fun decideAll(): Int {
            var sent = 0
            repeat(REQUESTS) { number ->
                now += STEP
                if (decide(request(number))) sent++
                if (number >= IN_FLIGHT) finish(number - IN_FLIGHT)
                if (number % REPORT_EVERY == 0) dispatcher.updateServers(servers, now)
                // Leaves the processor to heartbeats and elections.
                if (number % BATCH == 0) delay(BATCH_PAUSE) else yield()
            }
            return sent
        }

        private fun decide(request: DispatchRequest): Boolean {
            val received = (transmit(PeerMessage.Admit(request)) as PeerMessage.Admit).demand
            repeat(MAX_STEPS) {
                when (val admission = dispatcher.admit(received, now)) {
                    is Admission.Decided -> return reply(admission.decision) is DispatchDecision.Send
                    is Admission.Load -> dispatcher.recordLoadStarted(admission.order, 1, now)
                    is Admission.AwaitOrder -> return false
                }
            }
            return false
        }

        private fun reply(decision: DispatchDecision) = (transmit(PeerMessage.AdmitReply(1, decision)) as PeerMessage.AdmitReply).decision

        private fun transmit(message: PeerMessage): PeerMessage {
            val bytes = PeerFormat.cbor.encodeToByteArray(PeerMessage.serializer(), message)
            return PeerFormat.cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)
        }

        private fun finish(number: Int) {
            val events = listOf(RequestStep.ANSWERING, RequestStep.ENDED).map { RequestEvent(number.toLong(), it) }
            val received = transmit(PeerMessage.Progress(ENTRY, events)) as PeerMessage.Progress
            dispatcher.applyEvents(received.entry, received.events, now)
        }

        private fun request(number: Int): DispatchRequest {
            val server = servers[number % servers.size]
            val model = server.models?.firstOrNull()?.name
            return DispatchRequest(
                entry = ENTRY,
                number = number.toLong(),
                service = server.service,
                workspace = null,
                charge = 0,
                zone = server.zone,
                targetMillis = 1_000,
                remainingMillis = 5_000,
                model = model,
                adapter = model?.let { "a${number % ADAPTERS}" },
                promptTokens = PROMPT_TOKENS,
            )
        }
    }

    private companion object {
        const val ENTRY = "warm-up"

        /** Enough for the runtime to compile the code with its default thresholds, about 200 calls. */
        const val REQUESTS = 1_500
        const val IN_FLIGHT = 200
        const val ADAPTERS = 300
        const val PROMPT_TOKENS = 1_500
        const val REPORT_EVERY = 50
        const val MAX_STEPS = 3
        const val BATCH = 25
        val STEP = 3.milliseconds
        val BATCH_PAUSE = 20.milliseconds
        val POLL_INTERVAL = 250.milliseconds

        /** Within this time after the first, most servers have reported. */
        val REPORT_PERIOD = 2.seconds
    }
}
