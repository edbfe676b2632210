package anvilslip.gateway

import anvilslip.entry.http.AnswerBudget
import anvilslip.entry.http.BodyBudget
import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpServer
import anvilslip.entry.http.HttpServerOptions
import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.HybridClock
import anvilslip.kernel.Kernel
import anvilslip.kernel.Metrics
import anvilslip.kernel.SystemClock
import anvilslip.policy.DispatchOptions
import anvilslip.policy.EntryInstance
import anvilslip.policy.LeaderLateness
import anvilslip.policy.RequestStep
import anvilslip.policy.RetryBudget
import anvilslip.settings.Address
import anvilslip.settings.GatewaySettings
import anvilslip.state.RecoveringStorage
import anvilslip.state.Replica
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaMessage
import anvilslip.state.ReplicaOptions
import anvilslip.state.ReplicaTransport
import anvilslip.state.ReplicatedState
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerHandler
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import anvilslip.wire.PeerOptions
import kotlinx.coroutines.delay
import java.nio.file.Path
import java.util.UUID
import kotlin.io.path.readBytes
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Creates and connects the services of one entry or control instance. */
public class Gateway(
    private val settings: GatewaySettings,
    private val dialects: GatewayDialects,
    private val clock: Clock = SystemClock,
    /** Monotonic time at which the process started. */
    private val startedAt: Duration = clock.elapsed(),
) {
    private val log = EventLogger("gateway")
    private val kernel = Kernel()
    private val incarnation = UUID.randomUUID().toString().take(INCARNATION_LENGTH)
    private val metrics = kernel.install(Metrics())
    private val network = kernel.install(network())
    private val requestMetrics = GatewayMetrics(metrics)
    private val clusterView =
        ClusterView(
            dialects.documents,
            clock,
            settings.seeds,
            settings.heartbeat,
            requestMetrics::recordEvacuation,
            requestMetrics::recordConfigurationVersion,
        )
    private val foreignAnswers = ForeignAnswerRecorder(requestMetrics)
    private val answerLog = GivenUpAnswerRecorder(requestMetrics)
    private val answers =
        AnswerBudget(
            capacityBytes = if (settings.clients == null) MemoryBounds.CONTROL_ANSWER_BYTES else MemoryBounds.ENTRY_ANSWER_BYTES,
            onGiveUp = answerLog::record,
        )
    private val client =
        kernel.install(
            HttpClient(CONNECT_TIMEOUT, threads = 1, MAX_IDLE, clock, foreignAnswers::record, ::recordConnect, answers = answers),
        )
    private val reachability = ServerReachability(clock) { clusterView.servers().size }
    private val mayDelegate = settings.delegateLoads && settings.fencingChecked && settings.toleratedLosses >= MIN_DELEGATE_LOSSES
    private val usesDelegates = settings.clients != null && mayDelegate
    private val watch =
        kernel.install(
            WatchService(
                network,
                clusterView,
                settings.host,
                settings.peerPort,
                clock,
                needsEntryHosts = settings.clients != null,
                keepsServers = usesDelegates,
                entry = ::self,
            ),
        )
    private val bodies = BodyBudget()
    private var frontend: HttpServer? = null
    private var relay: HttpServer? = null
    private var forwarder: Forwarder? = null

    @Volatile
    private var loadDelegate: LoadDelegate? = null

    @Volatile
    private var isStopping = false

    init {
        settings.zones.forEach { requestMetrics.recordEvacuation(it, isActive = false) }
        requestMetrics.recordAnswerBytes(answers::heldBytes)
        network.handler = if (settings.isControl) installControl() else PeerHandler { _, message -> answer(message) }
        if (settings.clients != null) installEntry(settings.clients!!)
        val address = Address(settings.host, settings.metricsPort)
        kernel.install(HttpServer("metrics-http", address, MetricsHandler(metrics), threads = 1, bodies = bodies))
    }

    private val isReady: Boolean get() = clusterView.active.configuration != null && !isStopping

    /** Starts all services. */
    public suspend fun start() {
        kernel.start()
        log.info("started", "instance" to settings.instance, "host" to settings.host, "zone" to settings.zone, "incarnation" to incarnation)
    }

    /**
     * Drains this instance without aborting requests: announces that it is not ready, so that new clients are sent to other
     * instances, still serves the requests that arrive for a while, then rejects new ones and waits for the responses in progress.
     */
    public suspend fun drain() {
        isStopping = true
        log.info("stopping", "instance" to settings.instance, "running" to frontend?.active)
        val server = frontend ?: return
        val schedule = DrainSchedule(settings.shutdownTime)
        server.isDraining = true
        watch.announce()
        delay(schedule.acceptPeriod)
        forwarder?.isRejecting = true
        server.awaitIdle(schedule.completionPeriod)
        relay?.awaitIdle(RELAY_COMPLETION)
        server.stopAccepting()
    }

    /** Applies the settings that can change at run time: the list of seeds. */
    public fun reload(next: GatewaySettings): Unit = clusterView.updateSeeds(next.seeds)

    /** Stops all services. */
    public suspend fun stop() {
        kernel.stop()
        log.info("stopped", "instance" to settings.instance)
    }

    private fun self(): EntryInstance? =
        settings.clients?.let {
            EntryInstance(
                host = settings.host,
                clients = it.toString(),
                zone = settings.zone,
                region = settings.region,
                ready = isReady,
                knownEntries = clusterView.entryCount ?: 0,
                capacity = settings.capacity,
            )
        }

    private suspend fun answer(message: PeerMessage): PeerMessage =
        when (message) {
            is PeerMessage.Ping -> PeerMessage.Ack
            is PeerMessage.DelegateLoad -> loadDelegate?.load(message) ?: PeerMessage.Failed("not a load delegate")
            else -> PeerMessage.Failed("not understood here")
        }

    private fun network(): PeerNetwork =
        PeerNetwork(
            self = settings.host,
            listen = PeerAddress(settings.host, settings.peerPort),
            peers = emptyMap(),
            secret = settings.secretFile?.readBytes() ?: DEFAULT_SECRET,
            clock = clock,
            hybridClock = HybridClock(clock),
            options = PeerOptions(silenceTimeout = PEER_SILENCE),
            acceptsPeer = { true },
            onSent = ::countSent,
            onReceived = { metrics.peerBytesReceived.inc(it.toDouble()) },
        )

    private fun recordConnect(
        address: String,
        isConnected: Boolean,
    ) = reachability.recordConnect(address, isConnected)

    private fun countSent(
        peer: String,
        message: PeerMessage,
        bytes: Int,
    ) {
        val zone = clusterView.zones[peer] ?: UNKNOWN_ZONE
        metrics.peerBytesSent.labelValues(message.javaClass.simpleName, zone).inc(bytes.toDouble())
    }

    private fun installControl(): PeerHandler {
        lateinit var quarantineStore: QuarantineStore
        val replica = kernel.install(replica { quarantineStore.restore(it) })
        network.admission = RecoveryAdmission(replica, settings.seeds, clock)
        quarantineStore =
            QuarantineStore(clusterView.suspects, { replica.isLeading }, { replica.view.state }, { replica.propose(it).isRight() })
        kernel.install(quarantineStore)
        val watchResponder = WatchResponder(settings.host, incarnation, clusterView, replica::view, clock, settings.zone)
        val engineClient = dialects.engineClient(client, settings.instance)
        val handover = OrderHandover(settings.orderPause, settings.fencingChecked)
        val options =
            DispatchOptions(
                coldOvershoot = settings.coldOvershoot,
                coldSlack = settings.coldSlack,
                minQueueEngines = settings.queueFromEngines.takeIf { it > 0 } ?: Int.MAX_VALUE,
            )
        val dispatch =
            kernel.install(
                LeaderDispatch(
                    replica::view,
                    clusterView,
                    watchResponder,
                    engineClient,
                    options,
                    handover,
                    clock,
                    AdmissionMetrics(metrics),
                ),
            )
        val hasStoredConfiguration = { replica.view.state.document != null }
        kernel.install(DispatchWarmUp(clusterView, options, hasStoredConfiguration))
        val orderWarmUp =
            kernel.install(
                WarmUpService(
                    name = "order-warm-up",
                    clock = clock,
                    isNeeded = { !hasStoredConfiguration() },
                    isDue = ::hasEngines,
                    work = EngineOrderWarmUp(dialects, clock),
                ),
            )
        val operations = ControlOperations(dialects.documents, clusterView, replica, network, watchResponder, settings.zones, clock)
        val http = HttpServerOptions(maxBodyBytes = MAX_DOCUMENT_BYTES)
        kernel.install(HttpServer("control", settings.control!!, dialects.control(operations), http, threads = 1, bodies = bodies))
        settings.directory?.let {
            kernel.install(
                HttpServer("directory", it, dialects.directory(operations, settings.resolveLifetime), threads = 1, bodies = bodies),
            )
        }
        val streams = StreamRegistry(clock)
        val lookup = StreamLookup(streams, clusterView, replica::view, clock) { dispatch.electedAt }
        val router = ControlRouter(replica, watchResponder, dispatch, operations, streams, lookup)
        return PeerHandler { from, message ->
            if (message is PeerMessage.Admit) orderWarmUp.recordTraffic()
            router.handle(from, message)
        }
    }

    private fun hasEngines(): Boolean =
        clusterView.active.configuration
            ?.services
            .orEmpty()
            .values
            .any { it.engine != null }

    private fun replica(restoreQuarantines: (ReplicatedState) -> Unit): Replica {
        lateinit var replica: Replica
        val transport =
            object : ReplicaTransport {
                override fun connect(to: ReplicaId) = network.connectTo(to.instance, PeerAddress(to.instance, settings.peerPort))

                override fun send(
                    to: ReplicaId,
                    message: ReplicaMessage,
                ) {
                    connect(to)
                    network.send(to.instance, PeerMessage.Replica(replica.view.id, to, message))
                }
            }
        replica =
            Replica(
                instance = settings.host,
                members = settings.seeds,
                storage = RecoveringStorage(settings.dataFolder!!, ::logStorageDamage) { metrics.syncs.inc() },
                transport = transport,
                clock = clock,
                options = replicaOptions(voterTarget = settings.toleratedLosses * 2 + 1),
                mayBootstrap = settings.mayFound,
                startedAt = startedAt,
                onStateChange = { state ->
                    // Before the document, with which entry instances that have just started become ready.
                    restoreQuarantines(state)
                    clusterView.applyEvacuations(ClusterView.Evacuations(state.evacuations, state.evacuationRevision))
                    state.document?.let { clusterView.applyDocument(it, ClusterView.LOG_SOURCE) }
                    clusterView.applyVersions(state.namedVersions, state.namedRevision)
                },
                onLeaderChange = { leader, term -> clusterView.observeLeader(leader.instance, term) },
            )
        return replica
    }

    private fun replicaOptions(voterTarget: Int) =
        ReplicaOptions(
            voterTarget = voterTarget,
            entriesBetweenSnapshots = SNAPSHOT_EVERY,
            bytesBetweenSnapshots = SNAPSHOT_EVERY_BYTES,
            retainedEntries = KEPT_ENTRIES,
            maxLogBytes = MAX_LOG_BYTES,
        )

    private fun logStorageDamage(
        reason: String?,
        keptIn: Path,
    ) = log.error("storage_damaged", "reason" to reason, "kept_in" to keptIn)

    private fun installEntry(address: Address) {
        val streams = StreamRegistry(clock)
        val lateness = LeaderLateness()
        val progress = kernel.install(ProgressReporter(settings.host, network, clusterView, clock, streams, lateness))
        val local = LocalDispatch(clusterView, progress)
        val delegates = if (usesDelegates) installDelegates(local, progress) else null
        val withdraw = { number: Long -> progress.recordStep(number, RequestStep.ENDED) }
        val admissionClient = AdmissionClient(network::call, clusterView, local, clock, withdraw, delegates, lateness)
        val availability = ServerAvailability(clusterView, clock)
        val sender =
            RequestSender(installTransport(), dialects.requests, progress, availability, clock, reachability::isIsolated) {
                IdleConnectionShare.of(
                    clusterView.active.configuration
                        ?.services
                        ?.get(it),
                    clusterView.entryCount,
                )
            }
        val crashDetector = kernel.install(CrashDetector(client, clusterView))
        val clientHandler =
            Forwarder(
                self = ForwarderIdentity(settings.host, settings.zone),
                dialect = dialects.requests,
                clusterView = clusterView,
                admit = admissionClient::admit,
                local = local,
                progress = progress,
                sender = sender,
                availability = availability,
                crashDetector = crashDetector,
                streams = StreamResolver(streams, network::call, { clusterView.leader.host }, clock),
                metrics = requestMetrics,
                clock = clock,
                retryBudget = ::retryBudget,
            )
        forwarder = clientHandler
        frontend =
            kernel.install(HttpServer("clients", address, clientHandler, threads = 1, currentOptions = ::clientOptions, bodies = bodies))
        settings.readiness?.let {
            kernel.install(
                HttpServer("readiness", it, dialects.readiness { isReady }, threads = 1, bodies = bodies),
            )
        }
    }

    /** The way to the backend servers: directly, or through the relay of another entry instance. */
    private fun installTransport(): ServerTransport {
        val direct = ServerTransport(client::open)
        val token = RelayProtocol.token(settings.secretFile?.readBytes() ?: DEFAULT_SECRET)
        val port = settings.relayPort ?: return direct
        val handler = RelayHandler(direct, token, reachability, ::isServer, ::isStopping)
        val address = Address(settings.host, port)
        relay = kernel.install(HttpServer("relay", address, handler, threads = 1, currentOptions = ::relayOptions, bodies = bodies))
        kernel.install(ServerProbe(client, clusterView, reachability))
        // Connections to relays tell nothing of those to servers, so they have a client of their own.
        val relayClient =
            kernel.install(
                HttpClient(
                    connectTimeout = RELAY_CONNECT_TIMEOUT,
                    threads = 1,
                    maxIdle = MAX_IDLE,
                    clock = clock,
                    onForeignAnswer = foreignAnswers::record,
                    serviceName = "relay-client",
                    answers = answers,
                ),
            )
        val relays = RelaySelection({ (clusterView.entryHosts - settings.host).map { "$it:$port" } }, clock)
        return RelayingTransport(direct, ServerTransport(relayClient::open), reachability, relays, token)
    }

    private fun isServer(address: String): Boolean = clusterView.servers().any { it.address == address }

    /** Requests of clients, with the headers that relays need. */
    private fun relayOptions(): HttpServerOptions = clientOptions().let { it.copy(maxHeaderBytes = it.maxHeaderBytes + RELAY_HEADER_BYTES) }

    private fun installDelegates(
        local: LocalDispatch,
        progress: ProgressReporter,
    ): DelegateClient {
        val reachability = kernel.install(ControlReachability(network::call, clusterView, clock))
        val engineClient = dialects.engineClient(client, settings.instance)
        val delegate = kernel.install(LoadDelegate(settings.host, clusterView, reachability, engineClient, DispatchOptions(), clock))
        loadDelegate = delegate
        val connections =
            object : PeerConnections {
                override fun connect(peer: String) = network.connectTo(peer, PeerAddress(peer, settings.peerPort))

                override fun disconnect(peer: String) = network.disconnect(peer)
            }
        return kernel.install(
            DelegateClient(
                host = settings.host,
                peers = network::call,
                connections = connections,
                clusterView = clusterView,
                reachability = reachability,
                delegate = delegate,
                local = local,
                countRunning = progress::countRunning,
                clock = clock,
            ),
        )
    }

    private fun retryBudget() = RetryBudget(settings.retryWindow, settings.retryShare * BUDGET_SAFETY, ::retryReserve)

    /** This instance's part of the retry reserve; nothing until it is known among how many the reserve is divided. */
    private fun retryReserve(): Double = clusterView.entryCount?.let { settings.retryReserve * BUDGET_SAFETY / it } ?: 0.0

    private fun clientOptions(): HttpServerOptions {
        val limits = clusterView.active.configuration?.limits ?: return HttpServerOptions()
        return HttpServerOptions(
            maxBodyBytes = limits.maxBodyBytes,
            maxHeaderBytes = limits.maxHeaderBytes,
            maxLineBytes = limits.maxHeaderBytes,
            receiveTimeout = limits.headerTimeout,
            idleTimeout = limits.idleTimeout,
        )
    }

    private companion object {
        const val INCARNATION_LENGTH = 8

        /** Label value for the zone of an instance that has not reported one. */
        const val UNKNOWN_ZONE = "unknown"
        const val MAX_DOCUMENT_BYTES = 16 * 1024 * 1024

        /** Used by every instance that has no secret file, so that they can talk to each other. */
        val DEFAULT_SECRET = "anvilslip".toByteArray()
        val CONNECT_TIMEOUT: Duration = 500.milliseconds

        /** Time for relayed requests that outlast those of this instance's own clients. */
        val RELAY_COMPLETION: Duration = 500.milliseconds
        val RELAY_CONNECT_TIMEOUT: Duration = 200.milliseconds
        val MAX_IDLE: Duration = 3.seconds

        /** Room for the headers of a relayed request beside those of the client. */
        const val RELAY_HEADER_BYTES = 1024
        val PEER_SILENCE: Duration = 2.seconds

        /** Documents can be large, so snapshots are frequent and few entries are kept in memory and in the log. */
        const val SNAPSHOT_EVERY = 64
        const val KEPT_ENTRIES = 16
        const val SNAPSHOT_EVERY_BYTES = 8L * 1024 * 1024

        /** Leaves most of the heap of a control instance to requests and messages. */
        const val MAX_LOG_BYTES = 32L * 1024 * 1024

        /** Instances may briefly differ in the number of entry instances that they know, so each uses less than its share of the budget. */
        const val BUDGET_SAFETY = 0.7

        /** Load delegates are used where the loss of this many control instances at once is expected. */
        const val MIN_DELEGATE_LOSSES = 2
    }
}
