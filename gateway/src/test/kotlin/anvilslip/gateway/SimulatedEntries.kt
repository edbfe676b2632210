package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.EngineProfile
import anvilslip.policy.FencingToken
import anvilslip.policy.ModelProfile
import anvilslip.policy.ServingConfiguration
import anvilslip.state.AdapterName
import anvilslip.state.ConfigurationDocument
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Entry instances at [hosts] with the product's code for load delegates, and control instances that can be made unreachable, in virtual
 * time. The leader loads adapters into free places only.
 */
internal class SimulatedEntries(
    hosts: List<String>,
    private val slots: Int,
    val engines: SimulatedEngines,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val usesDelegates: Boolean = true,
) {
    inner class Entry(
        val host: String,
    ) {
        val view = ClusterView({ configuration.right() }, clock, CONTROLS.toSet(), 1.seconds)
        val peers = PeerCaller { peer, message, timeout -> call(this, peer, message, timeout) }
        val connected = HashSet<String>()
        val reachability = ControlReachability(peers, view, clock, scope)
        private val engineClient = engines.client(host) { reachability.cutOffTerm != null }
        val delegate = LoadDelegate(host, view, reachability, engineClient, DispatchOptions(), clock, scope)
        val local = LocalDispatch(view) { 0 }
        private val connections =
            object : PeerConnections {
                override fun connect(peer: String) {
                    if (peer !in connected) scope.launch { delay(CONNECT_TIME).also { connected += peer } }
                }

                override fun disconnect(peer: String) {
                    connected -= peer
                }
            }
        val client = DelegateClient(host, peers, connections, view, reachability, delegate, local, { 0 }, clock, scope)
        val admission = AdmissionClient(peers, view, local, clock, {}, client.takeIf { usesDelegates })
        var isDead = false

        /** Hosts of the control instances that this instance reaches. */
        var reachableControls = CONTROLS.toSet()
        var number = 0L

        fun request(adapter: String) =
            DispatchRequest(
                entry = host,
                number = ++number,
                service = SimulatedEngines.SERVICE,
                workspace = null,
                charge = 0,
                zone = "z",
                targetMillis = 1000,
                remainingMillis = 5000,
                model = SimulatedEngines.MODEL,
                adapter = adapter,
            )

        /** Asks for a server that holds [adapter]; true if there is one. */
        suspend fun serve(adapter: String): Boolean {
            val decision = admission.admit(request(adapter)).decision as? DispatchDecision.Send ?: return false
            val engine = engines.engines.getValue(decision.server)
            engine.settle()
            if (adapter !in engine.held) return false
            local.recordHolder(decision.server, AdapterName(SimulatedEngines.MODEL, adapter))
            return true
        }

        suspend fun start(others: List<String>) {
            view.applyDocument(ConfigurationDocument(1, "text"))
            for (engine in engines.engines.values) view.recordReport(engine.report(), direct = false)
            view.observeEntryHosts(CONTROLS.first(), others)
            view.recordContact()
            view.observeLeader(CONTROLS.first(), TERM)
            reachability.start()
            client.start()
        }
    }

    private val model = ModelProfile(SimulatedEngines.MODEL, weightsMb = 1.0, loadTime = 1.seconds, adapterMb = 1.0)
    private val profile = EngineProfile(64, 100_000, listOf(model), weightsMb = 10.0, adapterSlots = slots, loadsPerSecond = 1.0)
    private val configuration =
        ServingConfiguration(1, services = mapOf(SimulatedEngines.SERVICE to BackendService(SimulatedEngines.SERVICE, 100, profile)))
    val entries = hosts.map { Entry(it) }

    /** Messages sent to load delegates. */
    var delegateCalls = 0
        private set

    /** True while control instances answer pings but no admissions. */
    var isLeaderBusy = false

    suspend fun start() {
        for (entry in entries) entry.start(entries.map { it.host })
    }

    /** Makes all control instances unreachable for all entry instances, or reachable again. */
    fun setControlReachable(isReachable: Boolean) {
        for (entry in entries) entry.reachableControls = if (isReachable) CONTROLS.toSet() else emptySet()
    }

    private suspend fun call(
        from: Entry,
        peer: String,
        message: PeerMessage,
        timeout: Duration,
    ): Either<PeerError, PeerMessage> {
        if (peer in CONTROLS) return callControl(from, peer, message, timeout)
        if (peer !in from.connected) return PeerError.Unreachable(peer).left()
        val target = entries.first { it.host == peer }
        delegateCalls++
        delay(ONE_WAY)
        if (target.isDead) return PeerError.NoAnswer(peer).left().also { delay(timeout - ONE_WAY) }
        val reply = withTimeoutOrNull(timeout - ONE_WAY) { target.delegate.load(message as PeerMessage.DelegateLoad) }
        return reply?.right() ?: PeerError.NoAnswer(peer).left()
    }

    private suspend fun callControl(
        from: Entry,
        control: String,
        message: PeerMessage,
        timeout: Duration,
    ): Either<PeerError, PeerMessage> {
        val isAnswered = control in from.reachableControls && !(isLeaderBusy && message is PeerMessage.Admit)
        if (!isAnswered) return PeerError.NoAnswer(control).left().also { delay(timeout) }
        delay(ONE_WAY * 2)
        return if (message is PeerMessage.Admit) admit(message.demand).right() else PeerMessage.Ack.right()
    }

    private suspend fun admit(request: DispatchRequest): PeerMessage {
        val adapter = checkNotNull(request.adapter)
        repeat(LEADER_POLLS) {
            engines.engines.values.forEach { it.settle() }
            val holder = engines.engines.values.firstOrNull { adapter in it.held }
            if (holder != null) return PeerMessage.AdmitReply(TERM, DispatchDecision.Send(holder.id, "${holder.id}:80"))
            if (engines.engines.values.none { adapter in it.pending }) load(adapter)
            delay(LEADER_POLL)
        }
        return PeerMessage.AdmitReply(TERM, DispatchDecision.Refuse(DispatchRefusal.LOADING, 250))
    }

    private fun load(adapter: String) {
        val engine =
            engines.engines.values
                .filter { it.occupied < slots }
                .minByOrNull { it.occupied } ?: return
        val order = EngineOrder(engine.id, "${engine.id}:80", true, SimulatedEngines.MODEL, adapter, null, engine.orders)
        engines.execute(order, FencingToken.ofLeader(TERM).value, "leader")
    }

    companion object {
        const val TERM = 3L
        val CONTROLS = (1..5).map { "10.9.0.$it" }
        private val ONE_WAY = 1.milliseconds
        private val CONNECT_TIME = 4.milliseconds
        private val LEADER_POLL = 10.milliseconds
        private const val LEADER_POLLS = 40
    }
}
