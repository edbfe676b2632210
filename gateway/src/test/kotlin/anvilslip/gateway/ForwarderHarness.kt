package anvilslip.gateway

import anvilslip.entry.http.AnswerBudget
import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpServer
import anvilslip.kernel.Clock
import anvilslip.kernel.HybridClock
import anvilslip.kernel.Metrics
import anvilslip.kernel.SystemClock
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.RequestKind
import anvilslip.policy.RetryBudget
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.policy.ServingRoute
import anvilslip.policy.ServingWorkspace
import anvilslip.policy.WeightedService
import anvilslip.settings.Address
import anvilslip.state.ConfigurationDocument
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerNetwork
import arrow.core.right
import kotlinx.coroutines.delay
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun route(
    name: String,
    kind: RequestKind,
    resumable: Boolean = false,
    attempts: Int = 2,
) = ServingRoute(name, "h", "/$name/", kind, resumable, 2.seconds, 1.seconds, 0, listOf(WeightedService("s", 1.0)), attempts, true)

private val configuration =
    ServingConfiguration(
        version = 1,
        routes =
            listOf(
                route("once", RequestKind.AT_MOST_ONCE, attempts = 1),
                route("again", RequestKind.IDEMPOTENT),
                route("stream", RequestKind.STREAMING),
                route("resume", RequestKind.STREAMING, resumable = true),
                route("patient", RequestKind.IDEMPOTENT).copy(timeout = 20.seconds),
                route("charged", RequestKind.STREAMING, resumable = true, attempts = 3).copy(isPublic = false),
            ),
        workspaces = listOf(ServingWorkspace("w", listOf("k"))),
    )

/**
 * Starts a forwarder that tries [servers] in order, and runs [action] with a function that sends a request to it and with its
 * port. Of the requests for a retry, the first [refusals] are refused, and the first [localRefusals] of all requests are refused
 * without a leader because of the limit; [localDecision] replaces the decision on every request. The servers are in [zones], if given, and
 * [onAdmitted] is called after each decision, before the request is sent. [retryReserve] is the number of retries allowed, [connectTimeout]
 * that of connections to servers; an admission takes [admissionTime] and holds the request for [holdMillis]; [demands] records all requests
 * for admission. [onConnect] is told of connections to servers, and [transport] wraps the way to them; [answers] bounds the memory of answers.
 */
internal suspend fun withForwarder(
    servers: List<ScriptedServer>,
    refusals: Int = 0,
    localRefusals: Int = 0,
    retryReserve: Double = 2.0,
    senderClock: Clock = SystemClock,
    connectTimeout: Duration = 300.milliseconds,
    admissionTime: Duration = Duration.ZERO,
    holdMillis: Long = 0,
    demands: MutableList<DispatchRequest> = mutableListOf(),
    localDecision: DispatchDecision? = null,
    zones: List<String> = emptyList(),
    onAdmitted: (ClusterView) -> Unit = {},
    onConnect: (address: String, isConnected: Boolean) -> Unit = { _, _ -> },
    transport: (ServerTransport) -> ServerTransport = { it },
    answers: AnswerBudget = AnswerBudget(),
    action: suspend (call: (path: String) -> String, port: Int) -> Unit,
) {
    val clusterView = ClusterView({ configuration.right() }, SystemClock, setOf("127.0.0.1"), 1.seconds)
    clusterView.applyDocument(ConfigurationDocument(1, "text"))
    zones.forEachIndexed { at, zone ->
        clusterView.recordReport(ServerReport("s$at", "s", servers[at].address, zone, ServerPhase.READY, 1, 1), direct = true)
    }
    val network =
        PeerNetwork(
            "e",
            PeerAddress("127.0.0.1", 0),
            emptyMap(),
            "0123456789abcdef".toByteArray(),
            SystemClock,
            HybridClock(SystemClock),
        )
    val progress = ProgressReporter("e", network, clusterView)
    val client = HttpClient(connectTimeout = connectTimeout, threads = 1, onConnect = onConnect, answers = answers)
    val availability = ServerAvailability(clusterView, SystemClock)

    var refused = 0

    suspend fun admit(demand: DispatchRequest): AdmissionClient.Result {
        demands += demand
        delay(admissionTime)
        localDecision?.let { return AdmissionClient.Result(it, null) }
        if (demands.size <= localRefusals) {
            return AdmissionClient.Result(DispatchDecision.Refuse(DispatchRefusal.OVER_LIMIT, 500), null)
        }
        if (demand.exclude.isNotEmpty() && refused++ < refusals) {
            return AdmissionClient.Result(DispatchDecision.Refuse(DispatchRefusal.LOADING, 100), 1)
        }
        val at = servers.indices.firstOrNull { "s$it" !in demand.exclude }
        val decision =
            at?.let { DispatchDecision.Send("s$it", servers[it].address, holdMillis) } ?: DispatchDecision.Refuse(DispatchRefusal.BUSY, 100)
        return AdmissionClient.Result(decision, 1)
    }
    val forwarder =
        Forwarder(
            self = ForwarderIdentity("e", "z"),
            dialect = TestDialect,
            clusterView = clusterView,
            admit = { demand -> admit(demand).also { onAdmitted(clusterView) } },
            local = LocalDispatch(clusterView, progress::countRunning),
            progress = progress,
            sender = RequestSender(transport(ServerTransport(client::open)), TestDialect, progress, availability, senderClock),
            availability = availability,
            crashDetector = CrashDetector(client, clusterView),
            streams = StreamResolver(StreamRegistry(SystemClock), network::call, { null }, SystemClock),
            metrics = GatewayMetrics(Metrics()),
            clock = SystemClock,
            retryBudget = { RetryBudget(10.seconds, 0.0) { retryReserve } },
        )
    val port = ServerSocket(0).use { it.localPort }
    val server = HttpServer("test", Address("127.0.0.1", port), forwarder, threads = 1)
    server.start()
    try {
        action({ path ->
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write(
                    "GET $path HTTP/1.1\r\nHost: h\r\nid: 7\r\nkey: k\r\nConnection: close\r\n\r\n".toByteArray(),
                )
                socket.getInputStream().readBytes().decodeToString()
            }
        }, port)
    } finally {
        server.stop()
        client.stop()
        servers.forEach { it.close() }
    }
}
