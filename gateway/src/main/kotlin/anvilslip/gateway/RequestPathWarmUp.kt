package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServer
import anvilslip.entry.http.HttpServerRequest
import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Metrics
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
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
import anvilslip.wire.PeerLinks
import arrow.core.right
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends synthetic requests of clients through a [Forwarder] of its own to an HTTP server on the loopback address that answers as a backend
 * server does. All that these requests change, such as metrics, the view of the cluster and the reports to the leader, is discarded; nothing
 * reaches other instances or real servers.
 */
public class RequestPathWarmUp(
    private val dialects: GatewayDialects,
    private val clock: Clock,
    private val requests: Int = REQUESTS,
) : WarmUpWork {
    override suspend fun run(): WarmUpWork.Result {
        val clusterView = newClusterView()
        val links = SyntheticLeaderLinks { decide(clusterView) }
        val progress = ProgressReporter(NAME, links, clusterView, clock)
        val client = HttpClient(CONNECT_TIMEOUT, threads = 1, clock = clock, serviceName = NAME)
        val backend = HttpServer("$NAME-backend", Address(LOOPBACK, 0), HttpHandler(::answer), threads = 1, log = EventLogger.discarding())
        val frontend =
            HttpServer(
                "$NAME-clients",
                Address(LOOPBACK, 0),
                newForwarder(clusterView, links, progress, client),
                threads = 1,
                log = EventLogger.discarding(),
            )
        try {
            backend.start()
            clusterView.recordReport(
                ServerReport(SERVER, SERVICE, "$LOOPBACK:${backend.boundPort}", ZONE, ServerPhase.READY, slots = requests),
                direct = true,
            )
            progress.start()
            frontend.start()
            return runInBatches(requests, BATCH, BATCH_PAUSE) { send(client, "$LOOPBACK:${frontend.boundPort}", it) }
        } finally {
            withContext(NonCancellable) {
                frontend.stop()
                progress.stop()
                client.stop()
                backend.stop()
            }
        }
    }

    private fun newClusterView(): ClusterView {
        val configuration =
            ServingConfiguration(
                version = 1,
                routes = listOf(route(STREAM_PREFIX, RequestKind.STREAMING), route(PLAIN_PREFIX, RequestKind.IDEMPOTENT)),
                services = mapOf(SERVICE to BackendService(SERVICE, maxConnections = BATCH)),
                workspaces = listOf(ServingWorkspace(NAME, listOf(KEY))),
            )
        val view = ClusterView({ configuration.right() }, clock, setOf(LEADER), heartbeat = 1.seconds, log = EventLogger.discarding())
        view.applyDocument(ConfigurationDocument(1, "synthetic"))
        view.observeLeader(LEADER, 1)
        return view
    }

    /** The decision of the synthetic leader on every request. */
    private fun decide(clusterView: ClusterView): DispatchDecision =
        DispatchDecision.Send(SERVER, clusterView.server(SERVER)?.address.orEmpty())

    private fun route(
        prefix: String,
        kind: RequestKind,
    ) = ServingRoute(
        name = prefix,
        host = HOST,
        pathPrefix = prefix,
        kind = kind,
        resumable = kind == RequestKind.STREAMING,
        timeout = REQUEST_TIMEOUT,
        target = REQUEST_TIMEOUT,
        split = listOf(WeightedService(SERVICE, 1.0)),
    )

    private fun newForwarder(
        clusterView: ClusterView,
        links: PeerLinks,
        progress: ProgressReporter,
        client: HttpClient,
    ): Forwarder {
        val local = LocalDispatch(clusterView, progress)
        val availability = ServerAvailability(clusterView, clock)
        return Forwarder(
            self = ForwarderIdentity(NAME, ZONE),
            dialect = dialects.requests,
            clusterView = clusterView,
            admit = AdmissionClient(links::call, clusterView, local, clock, withdraw = {})::admit,
            local = local,
            progress = progress,
            sender = RequestSender(ServerTransport(client::open), dialects.requests, progress, availability, clock),
            availability = availability,
            crashDetector = CrashDetector(client, clusterView),
            streams = StreamResolver(StreamRegistry(clock), links::call, { LEADER }, clock),
            metrics = GatewayMetrics(Metrics()),
            clock = clock,
            retryBudget = { RetryBudget(REQUEST_TIMEOUT, 0.0) { 0.0 } },
            events = EventLogger.discarding(),
        )
    }

    private suspend fun send(
        client: HttpClient,
        address: String,
        number: Int,
    ): Boolean {
        val isStream = number % 2 == 0
        val id = number.toString().padStart(ID_LENGTH, '0')
        val path = if (isStream) STREAM_PREFIX else PLAIN_PREFIX
        val request = HttpClientRequest("POST", path + id, dialects.samples.requestHeaders(id, KEY), REQUEST_BODY, host = HOST)
        return try {
            val response = client.exchange(address, request, REQUEST_TIMEOUT)
            response.status == OK && response.text == if (isStream) STREAM else ANSWER
        } catch (_: HttpClientException) {
            false
        }
    }

    /** Answers as a backend server does. */
    private suspend fun answer(
        call: HttpServerRequest,
        responder: HttpResponder,
    ) {
        val headers = dialects.samples.responseHeaders(call)
        if (!call.path.startsWith(STREAM_PREFIX)) {
            return responder.respond(HttpResponse(OK, ANSWER.toByteArray(), "application/json", headers))
        }
        responder.startStream(OK, "text/event-stream", headers)
        EVENTS.forEach { responder.sendPart(it.toByteArray()) }
        responder.endStream()
    }

    private companion object {
        const val NAME = "request-warm-up"
        const val LOOPBACK = "127.0.0.1"
        const val LEADER = "leader"
        const val ZONE = "zone"
        const val HOST = "warm-up.example"
        const val SERVICE = "service"
        const val SERVER = "server"
        const val KEY = "key"
        const val STREAM_PREFIX = "/stream/"
        const val PLAIN_PREFIX = "/plain/"
        const val ID_LENGTH = 16
        const val OK = 200
        const val ANSWER = """{"answer":"synthetic"}"""
        val REQUEST_BODY = ByteArray(512)
        val EVENTS = (1..8).map { "id: $it\ndata: synthetic\n\n" }
        val STREAM = EVENTS.joinToString("")
        val CONNECT_TIMEOUT = 500.milliseconds
        val REQUEST_TIMEOUT = 5.seconds

        /** The runtime compiles code after about 200 calls. */
        const val REQUESTS = 320
        const val BATCH = 4
        val BATCH_PAUSE = 20.milliseconds
    }
}
