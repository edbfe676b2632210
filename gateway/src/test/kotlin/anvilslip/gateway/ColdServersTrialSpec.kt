package anvilslip.gateway

import anvilslip.policy.Admission
import anvilslip.policy.BackendService
import anvilslip.policy.ColdServers
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRequest
import anvilslip.policy.Dispatcher
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestStep
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.ConfigurationDocument
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests per second that reach cold servers from a simulated fleet of entry instances and leaders, over random schedules. */
class ColdServersTrialSpec :
    DescribeSpec({
        val service = BackendService("s", 500, coldStart = 3.seconds, coldRequestsPerSecond = 8.2)
        val options = DispatchOptions(coldOvershoot = 1.5, coldSlack = 5.0)
        val bound = 8.2 * 1.5 + 5

        for (seed in 1L..8L) {
            describe("90 entry instances, schedule $seed") {
                val trial = ColdServersTrial(service, options, Random(seed)).also { it.run() }

                it("never send a cold server more than the bound in any second, with leaders that change and instances that are cut off") {
                    trial.busiestColdSecond.toDouble() shouldBeLessThanOrEqual bound
                }

                it("send cold servers requests, and warm ones more than the bound, so that the bound is put to the test") {
                    trial.coldRequests shouldBeGreaterThan 50
                    trial.busiestWarmSecond shouldBeGreaterThan bound.toInt()
                }
            }
        }
    })

/** Servers of three zones, one of which is under evacuation for a while, and others that start in the course of the trial. */
private class ColdServersTrial(
    private val service: BackendService,
    private val options: DispatchOptions,
    private val random: Random,
) {
    private class Event(
        val at: Duration,
        val number: Int,
        val action: () -> Unit,
    )

    private class SimulatedServer(
        val id: String,
        val zone: String,
        val startsAt: Duration,
    ) {
        val sentAt = ArrayList<Duration>()
    }

    /** An instance whose clock has its own origin and rate. */
    private inner class Instance {
        private val origin = random.nextInt(0, 100_000).milliseconds
        private val rate = 1 + random.nextDouble(-0.001, 0.001)
        val clock = TestClock(origin)
        val view =
            ClusterView(
                { configuration.right() },
                clock,
                setOf("c"),
                1.seconds,
            ).apply { applyDocument(ConfigurationDocument(1, "text")) }
        val local = LocalDispatch(view) { 0 }
        var knowsEvacuation = false
        var isCut = false

        fun localNow(): Duration = (origin + now * rate).also { clock.time = it }
    }

    private val configuration = ServingConfiguration(1, services = mapOf(service.name to service))
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var eventCount = 0
    private var now = Duration.ZERO
    private val servers =
        List(18) { SimulatedServer("s$it", "z${it % 3}", Duration.ZERO) } +
            List(6) { SimulatedServer("new$it", "z${it % 2}", random.nextInt(3_000, 15_000).milliseconds) }
    private val entries = List(90) { Instance() }
    private val controls = List(3) { Instance() }
    private var leader: Instance? = null
    private var dispatcher: Dispatcher? = null
    private var requestCount = 0L

    val coldRequests: Int get() = servers.sumOf { server -> server.sentAt.count { isCold(server, it) } }
    val busiestColdSecond: Int get() = servers.maxOf { server -> busiestSecond(server.sentAt.filter { isCold(server, it) }) }
    val busiestWarmSecond: Int get() = servers.maxOf { server -> busiestSecond(server.sentAt.filter { !isCold(server, it) }) }

    /** The time for which a server is cold by the truth of the simulation. */
    private fun isCold(
        server: SimulatedServer,
        at: Duration,
    ): Boolean {
        val start = if (server.zone == EVACUATED) maxOf(server.startsAt, RETURNS_AT) else server.startsAt
        return start > Duration.ZERO && at >= start && at < start + service.coldStart
    }

    private fun busiestSecond(times: List<Duration>): Int =
        times.maxOfOrNull { start -> times.count { it >= start && it < start + 1.seconds } } ?: 0

    private fun at(
        time: Duration,
        action: () -> Unit,
    ) {
        events += Event(time, eventCount++, action)
    }

    private fun every(
        period: Duration,
        action: () -> Unit,
    ): Unit =
        at(now + period) {
            action()
            every(period, action)
        }

    private fun delay(maxMillis: Int) = random.nextInt(1, maxMillis).milliseconds

    fun run() {
        for (instance in entries + controls) at(EVACUATED_FROM) { instance.knowsEvacuation = true }
        for (instance in entries + controls) at(RETURNS_AT + delay(5_000)) { endEvacuation(instance) }
        for (server in servers) at(server.startsAt + 1.milliseconds) { heartbeat(server) }
        every(100.milliseconds) { updateLeader() }
        elect()
        every(2.seconds) { at(now + delay(1_000)) { elect() } }
        every(500.milliseconds) { entries.random(random).let { it.isCut = !it.isCut } }
        every(1.milliseconds) { repeat(2) { sendRequest(entries.random(random)) } }
        while (true) {
            val event = events.poll() ?: return
            if (event.at >= END) return
            now = event.at
            event.action()
        }
    }

    private fun endEvacuation(instance: Instance) {
        instance.view.coldServers.markZoneCold(EVACUATED, instance.localNow())
        instance.knowsEvacuation = false
    }

    private fun heartbeat(server: SimulatedServer) {
        val coldMillis = if (server.startsAt == Duration.ZERO) Duration.ZERO else server.startsAt + service.coldStart - now
        val report =
            ServerReport(
                id = server.id,
                service = service.name,
                address = "${server.id}:80",
                zone = server.zone,
                phase = ServerPhase.READY,
                startedAtMillis = server.startsAt.inWholeMilliseconds + 1,
                sequence = now.inWholeMilliseconds,
                slots = 6,
                coldMillis = coldMillis.inWholeMilliseconds.coerceAtLeast(0),
            )
        for (instance in entries + controls) {
            at(now + delay(1_000)) {
                instance.localNow()
                instance.view.recordReport(report, direct = true)
            }
        }
        at(now + 1.seconds) { heartbeat(server) }
    }

    private fun elect() {
        val next = controls.random(random)
        leader = next
        dispatcher =
            Dispatcher(options, next.localNow(), hasPredecessor = dispatcher != null, coldServers = next.view.coldServers).apply {
                configure(configuration, emptyMap(), next.localNow())
            }
        updateLeader()
    }

    private fun updateLeader() {
        val leading = leader ?: return
        val reports = leading.view.also { leading.localNow() }.servers()
        dispatcher?.updateServers(reports.filter { it.zone != EVACUATED || !leading.knowsEvacuation }, leading.localNow())
    }

    private fun sendRequest(entry: Instance) {
        val number = ++requestCount
        val evacuated = if (entry.knowsEvacuation) servers.filter { it.zone == EVACUATED }.map { it.id }.toSet() else emptySet()
        val request = DispatchRequest("e", number, service.name, null, 0, "z0", 100, 5_000, exclude = evacuated)
        if (entry.isCut) return execute(entry.local.decide(request, entry.localNow()), number, dispatcher, 10)
        val leading = leader ?: return
        val deciding = dispatcher ?: return
        val admission = deciding.admit(request, leading.localNow()) as Admission.Decided
        execute(admission.decision, number, deciding, ANSWER_MILLIS)
    }

    private fun execute(
        decision: DispatchDecision,
        number: Long,
        decidedBy: Dispatcher?,
        maxDelayMillis: Int,
    ) {
        if (decision !is DispatchDecision.Send) return
        val server = servers.single { it.id == decision.server }
        at(now + decision.holdMillis.milliseconds + delay(maxDelayMillis)) {
            server.sentAt += now
            at(now + 40.milliseconds) {
                decidedBy?.applyEvents("e", listOf(RequestEvent(number, RequestStep.ENDED)), leader?.localNow() ?: return@at)
            }
        }
    }

    private companion object {
        const val EVACUATED = "z2"
        val EVACUATED_FROM = 1.seconds
        val RETURNS_AT = 8.seconds
        val END = 20.seconds

        /** Longest time from the decision of a leader until the request reaches the server. */
        const val ANSWER_MILLIS = 450
    }
}
