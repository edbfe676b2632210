package anvilslip.daemon

import anvilslip.control.ControlService
import anvilslip.control.LeaderClient
import anvilslip.control.LeaderService
import anvilslip.control.PeerRouter
import anvilslip.entry.AnnouncementHandler
import anvilslip.entry.Authenticator
import anvilslip.entry.CallerHandler
import anvilslip.entry.CompletionService
import anvilslip.entry.HttpClient
import anvilslip.entry.HttpServer
import anvilslip.entry.HttpServerOptions
import anvilslip.entry.JsonBackendDialect
import anvilslip.entry.OpenAiCallerDialect
import anvilslip.entry.OperatorHandler
import anvilslip.entry.ServiceForwarder
import anvilslip.entry.WaitTracker
import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.HybridClock
import anvilslip.kernel.Kernel
import anvilslip.kernel.Metrics
import anvilslip.kernel.SystemClock
import anvilslip.kernel.Timeline
import anvilslip.policy.InstanceView
import anvilslip.policy.PlacementOptions
import anvilslip.settings.Settings
import anvilslip.state.RecoveringStorage
import anvilslip.state.Replica
import anvilslip.state.ReplicaTransport
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import kotlinx.coroutines.delay
import java.nio.file.Path
import java.util.UUID
import kotlin.io.path.readBytes
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** All services of one instance, wired together. */
public class Instance(
    private val settings: Settings,
    private val clock: Clock = SystemClock,
) {
    private val kernel = Kernel()
    private val incarnation = "${settings.instance}-${UUID.randomUUID().toString().take(INCARNATION_CHARACTERS)}"
    private val self =
        InstanceView(
            name = settings.instance,
            zone = settings.self.zone,
            address = settings.callers.toString(),
            announcements = settings.announcements.toString(),
        )
    private val placement =
        PlacementOptions(
            loadsPerSecond = settings.weightStore.loadsPerSecond,
            maxLoadsInFlight = settings.weightStore.maxLoadsInFlight,
        )
    private val stamps = HybridClock(clock)
    private val metrics = kernel.install(Metrics())
    private val timeline = kernel.install(Timeline(settings.instance, stamps))
    private val network = kernel.install(network())
    private val client = kernel.install(HttpClient())
    private val dialect = JsonBackendDialect(client)
    private val replica = settings.dataFolder?.takeIf { settings.self.replica }?.let { kernel.install(replica(it)) }
    private val leader = replica?.let { kernel.install(LeaderService(it, dialect, placement, clock, timeline)) }
    private val leaderClient = LeaderClient(network, settings.replicas, clock)
    private val control =
        kernel.install(
            ControlService(self, incarnation, leaderClient, clock, timeline, settings.pollInterval, settings.maxStaleness, placement),
        )
    private val waits = kernel.install(WaitTracker(clock, timeline, metrics))
    private val callers = kernel.install(HttpServer("callers", settings.callers, callerHandler(), httpOptions(), threads = 2))

    init {
        network.handler = PeerRouter(replica, leader, timeline)
        kernel.install(HttpServer("operators", settings.operators, operatorHandler(), httpOptions(), threads = 1))
        kernel.install(
            HttpServer("announcements", settings.announcements, AnnouncementHandler(control, dialect), httpOptions(), threads = 1),
        )
    }

    /** Starts all services. */
    public suspend fun start() {
        kernel.start()
        timeline.record(EventKind.INSTANCE_STARTED, fields = mapOf("zone" to self.zone, "incarnation" to incarnation))
    }

    /**
     * Shuts down without cutting off a request: leaves the answers that tell callers which instances to use, keeps serving
     * while callers may still keep such an answer, then refuses new requests and waits for those that run.
     */
    public suspend fun drain() {
        timeline.record(EventKind.INSTANCE_DRAINING)
        control.leaving = true
        control.poll()
        delay(settings.requests.resolveLifetime + settings.pollInterval * 2)
        control.draining = true
        callers.awaitIdle(settings.requests.requestTimeout + DRAIN_MARGIN)
    }

    /** Stops all services. */
    public suspend fun stop(): Unit = kernel.stop()

    private fun network(): PeerNetwork =
        PeerNetwork(
            self = settings.instance,
            listen = settings.self.peers.let { PeerAddress(it.host, it.port) },
            peers =
                settings.instances.filter { it.name != settings.instance }.associate {
                    it.name to
                        PeerAddress(it.peers.host, it.peers.port)
                },
            secret = settings.secretFile.readBytes(),
            clock = clock,
            hybridClock = stamps,
            onBytes = { sent, received ->
                metrics.peerBytesSent.inc(sent.toDouble())
                metrics.peerBytesReceived.inc(received.toDouble())
            },
        )

    private fun replica(folder: Path): Replica {
        val storage = RecoveringStorage(folder, ::noteDamage) { metrics.syncs.inc() }
        lateinit var replica: Replica
        val transport = ReplicaTransport { to, message -> network.send(to.instance, PeerMessage.Replica(replica.view.id, to, message)) }
        replica = Replica(settings.instance, settings.replicas, storage, transport, clock)
        return replica
    }

    private fun noteDamage(
        reason: String?,
        keptIn: Path,
    ) = timeline.record(EventKind.REPLICA_DAMAGED, cause = reason, fields = mapOf("kept_in" to keptIn.toString()))

    private fun callerHandler(): CallerHandler {
        val authenticator = Authenticator(control)
        val requests = settings.requests
        val completions = kernel.install(CompletionService(incarnation, control, dialect, authenticator, waits, timeline, clock, requests))
        val services = kernel.install(ServiceForwarder(incarnation, control, client, authenticator, timeline, clock, requests, self.zone))
        val caller = OpenAiCallerDialect(requests.maxJsonDepth, requests.defaultMaxTokens)
        return CallerHandler(self, caller, control, authenticator, completions, services, metrics, clock, requests)
    }

    private fun operatorHandler(): OperatorHandler {
        val token = settings.operatorTokenFile?.readText()?.trim()
        val peers = settings.instances.map { it.name }.toSet() - settings.instance
        return OperatorHandler(control, leaderClient, network, peers, timeline, waits, metrics, token)
    }

    private fun httpOptions(): HttpServerOptions {
        val requests = settings.requests
        return HttpServerOptions(
            maxBodyBytes = requests.maxBodyBytes,
            maxHeaderBytes = requests.maxHeaderBytes,
            receiveTimeout = requests.receiveTimeout,
        )
    }

    private companion object {
        const val INCARNATION_CHARACTERS = 8
        val DRAIN_MARGIN: Duration = 5.seconds
    }
}
