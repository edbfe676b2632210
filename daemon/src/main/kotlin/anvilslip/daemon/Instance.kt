package anvilslip.daemon

import anvilslip.control.ControlService
import anvilslip.control.LeaderClient
import anvilslip.control.LeaderService
import anvilslip.control.PeerRouter
import anvilslip.entry.AnnouncementHandler
import anvilslip.entry.Authenticator
import anvilslip.entry.ServiceForwarder
import anvilslip.entry.caller.CallerHandler
import anvilslip.entry.caller.OpenAiCallerDialect
import anvilslip.entry.completion.CompletionService
import anvilslip.entry.completion.JsonBackendDialect
import anvilslip.entry.completion.WaitTracker
import anvilslip.entry.http.BodyBudget
import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpServer
import anvilslip.entry.http.HttpServerOptions
import anvilslip.entry.operator.OperatorHandler
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

/** Creates the services of one instance, connects them and controls their lifecycle. */
public class Instance(
    private val settings: Settings,
    private val clock: Clock = SystemClock,
    /** Monotonic time at which the process started. */
    private val startedAt: Duration = clock.elapsed(),
) {
    private val kernel = Kernel()
    private val incarnation = "${settings.instance}-${UUID.randomUUID().toString().take(INCARNATION_SUFFIX_LENGTH)}"
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
    private val hybridClock = HybridClock(clock)
    private val metrics = kernel.install(Metrics())
    private val timeline = kernel.install(Timeline(settings.instance, hybridClock))
    private val network = kernel.install(createNetwork())
    private val httpClient = kernel.install(HttpClient())
    private val backendDialect = JsonBackendDialect(httpClient)
    private val replica = settings.dataFolder?.takeIf { settings.self.replica }?.let { kernel.install(createReplica(it)) }
    private val leaderService = replica?.let { kernel.install(LeaderService(it, backendDialect, placement, clock, timeline)) }
    private val leaderClient = LeaderClient(network, settings.replicas, clock)
    private val control =
        kernel.install(
            ControlService(self, incarnation, leaderClient, clock, timeline, settings.pollInterval, settings.maxStaleness, placement),
        )
    private val waitTracker = kernel.install(WaitTracker(clock, timeline, metrics))
    private val bodies = BodyBudget()
    private val callerServer =
        kernel.install(
            HttpServer("callers", settings.callers, createCallerHandler(), httpOptions(), threads = 2, bodies = bodies),
        )

    init {
        network.handler = PeerRouter(replica, leaderService, timeline)
        kernel.install(HttpServer("operators", settings.operators, createOperatorHandler(), httpOptions(), threads = 1, bodies = bodies))
        kernel.install(
            HttpServer(
                "announcements",
                settings.announcements,
                AnnouncementHandler(control, backendDialect),
                httpOptions(),
                threads = 1,
                bodies = bodies,
            ),
        )
    }

    /** Starts all services and records the start in the timeline. */
    public suspend fun start() {
        kernel.start()
        timeline.record(EventKind.INSTANCE_STARTED, fields = mapOf("zone" to self.zone, "incarnation" to incarnation))
    }

    /**
     * Drains the instance without interrupting requests: removes it from the resolve responses, which tell callers which instances to use,
     * keeps serving until the responses that callers may have cached have expired, then rejects new requests and waits for running ones.
     */
    public suspend fun drain() {
        timeline.record(EventKind.INSTANCE_DRAINING)
        control.leaving = true
        control.poll()
        delay(settings.requests.resolveLifetime + settings.pollInterval * 2)
        control.draining = true
        callerServer.awaitIdle(settings.requests.requestTimeout + DRAIN_MARGIN)
    }

    /** Stops all services. */
    public suspend fun stop(): Unit = kernel.stop()

    private fun createNetwork(): PeerNetwork =
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
            hybridClock = hybridClock,
            onSent = { peer, message, bytes ->
                val zone = settings.instances.firstOrNull { it.name == peer }?.zone ?: UNKNOWN_ZONE
                metrics.peerBytesSent.labelValues(message.javaClass.simpleName, zone).inc(bytes.toDouble())
            },
            onReceived = { metrics.peerBytesReceived.inc(it.toDouble()) },
        )

    private fun createReplica(dataFolder: Path): Replica {
        val storage = RecoveringStorage(dataFolder, ::recordReplicaDamage) { metrics.syncs.inc() }
        lateinit var replica: Replica
        val transport = ReplicaTransport { to, message -> network.send(to.instance, PeerMessage.Replica(replica.view.id, to, message)) }
        replica = Replica(settings.instance, settings.replicas, storage, transport, clock, startedAt = startedAt)
        return replica
    }

    private fun recordReplicaDamage(
        reason: String?,
        movedTo: Path,
    ) = timeline.record(EventKind.REPLICA_DAMAGED, cause = reason, fields = mapOf("kept_in" to movedTo.toString()))

    private fun createCallerHandler(): CallerHandler {
        val authenticator = Authenticator(control)
        val requests = settings.requests
        val completionService =
            kernel.install(
                CompletionService(incarnation, control, backendDialect, authenticator, waitTracker, timeline, clock, requests),
            )
        val serviceForwarder =
            kernel.install(ServiceForwarder(incarnation, control, httpClient, authenticator, timeline, clock, requests, self.zone))
        val callerDialect = OpenAiCallerDialect(requests.maxJsonDepth, requests.defaultMaxTokens)
        return CallerHandler(self, callerDialect, control, authenticator, completionService, serviceForwarder, metrics, clock, requests)
    }

    private fun createOperatorHandler(): OperatorHandler {
        val token = settings.operatorTokenFile?.readText()?.trim()
        val peers = settings.instances.map { it.name }.toSet() - settings.instance
        return OperatorHandler(control, leaderClient, network, peers, timeline, waitTracker, metrics, token)
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
        const val INCARNATION_SUFFIX_LENGTH = 8

        /** Label value for the zone of an instance that is not in the settings. */
        const val UNKNOWN_ZONE = "unknown"
        val DRAIN_MARGIN: Duration = 5.seconds
    }
}
