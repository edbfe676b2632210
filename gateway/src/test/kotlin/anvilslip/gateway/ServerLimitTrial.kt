package anvilslip.gateway

import anvilslip.policy.Admission
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRequest
import anvilslip.policy.Dispatcher
import anvilslip.policy.LimitGrant
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestStep
import anvilslip.policy.ServerIncarnation
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.ConfigurationDocument
import arrow.core.right
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Four servers of one service, each with another course of limits, and entry instances whose clients ask for all that they can get. Schedules
 * are random: instances are told at different times, answers overtake each other, leaders change while decisions of the last one are under
 * way or are missing, instances freeze, limits change, and a server starts anew.
 */
internal class ServerLimitTrial(
    entryCount: Int,
    private val random: Random,
) {
    private class Event(
        val at: Duration,
        val number: Int,
        val action: () -> Unit,
    )

    /** A time in which a server names [limits], one each second in turn; null is a time in which it names none. */
    private class Phase(
        val from: Duration,
        val limits: List<Double>?,
    ) {
        fun limitAt(time: Duration): Double? = limits?.let { it[(time - from).inWholeSeconds.toInt() % it.size] }
    }

    private class Arrival(
        val at: Duration,
        val phase: Phase,
        /** True if the instance had been told half a second before, and was in touch. */
        val counts: Boolean,
    )

    private inner class Server(
        val id: String,
        val phases: List<Phase>,
        val restartsAt: Duration? = null,
    ) {
        val arrivals = ArrayList<Arrival>()

        fun phaseAt(time: Duration): Phase = phases.last { it.from <= time }

        fun end(phase: Phase): Duration = phases.getOrNull(phases.indexOf(phase) + 1)?.from ?: END

        fun startedAtMillis(time: Duration): Long = if (restartsAt != null && time >= restartsAt) restartsAt.inWholeMilliseconds else 1

        fun report(): ServerReport =
            ServerReport(id, SERVICE, "$id:80", "z", ServerPhase.READY, startedAtMillis(now), now.inWholeMilliseconds, slots = 1_000)
    }

    private inner class Entry(
        val name: String,
    ) {
        val clock = TestClock(Duration.ZERO)
        val view =
            ClusterView(
                { configuration.right() },
                clock,
                setOf("c"),
                1.seconds,
            ).apply { applyDocument(ConfigurationDocument(1, "text")) }
        val local = LocalDispatch(view, { 0 }, random)
        val toldAt = HashMap<Phase, Duration>()
        var frozenUntil = Duration.ZERO
        val isInTouch: Boolean get() = now >= frozenUntil + CONTACT || frozenUntil == Duration.ZERO
    }

    private class Leader(
        val term: Long,
        val dispatcher: Dispatcher,
    )

    private val configuration = ServingConfiguration(1, services = mapOf(SERVICE to BackendService(SERVICE, 500)))
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var eventCount = 0
    private var now = Duration.ZERO
    private val entries = List(entryCount) { Entry("e$it") }
    private val servers =
        listOf(
            Server("constant", listOf(Phase(Duration.ZERO, null), Phase(1.seconds, listOf(limit())), Phase(22.seconds, null))),
            Server("changing", listOf(Phase(Duration.ZERO, null), Phase(2.seconds, List(20) { limit() }), Phase(24.seconds, null))),
            Server(
                "returning",
                listOf(
                    Phase(Duration.ZERO, null),
                    Phase(3.seconds, listOf(limit())),
                    Phase(12.seconds, null),
                    Phase(22.seconds, listOf(limit())),
                    Phase(32.seconds, null),
                ),
            ),
            Server(
                "restarting",
                listOf(
                    Phase(Duration.ZERO, listOf(limit())),
                    Phase(10.seconds, null),
                    Phase(15.seconds, listOf(limit())),
                    Phase(25.seconds, null),
                ),
                restartsAt = 10.seconds,
            ),
        )
    private var leader: Leader? = null
    private var lastTerm = 0L

    /** Times without a leader that knows the limits, in which servers that are limited get nothing from instances that know it. */
    private val leaderlessTimes = ArrayList<Pair<Duration, Duration>>()
    private var requestCount = 0L

    private fun limit(): Double = listOf(0.0, 0.2, 1.2, 1.8, 50.0, 1e9).random(random)

    /** What servers got beyond the bound, by window. */
    fun excesses(): List<String> =
        servers.flatMap { server ->
            server.phases.filter { it.limits != null }.mapNotNull { phase ->
                val times = server.arrivals.filter { it.phase === phase && it.counts && it.at >= phase.from + CONTACT }.map { it.at }
                times
                    .map { start -> Triple(start, times.count { it >= start && it < start + WINDOW }, allowed(phase, start)) }
                    .filter { it.second > it.third }
                    .maxByOrNull { it.second - it.third }
                    ?.let {
                        "${server.id}: ${it.second} requests in 4 s from ${it.first}; allowed ${it.third.toLong()}, limits ${phase.limits}, leaders changed $leaderlessTimes"
                    }
            }
        }

    /** Allows for each moment the highest limit of the last second, since a lower one has to be answered and passed on first. */
    private fun allowed(
        phase: Phase,
        start: Duration,
    ): Double {
        val steps = generateSequence(start) { it + STEP }.takeWhile { it < start + WINDOW }
        val requests =
            steps.sumOf { time ->
                listOf(time, time - SPREAD_TIME).filter { it >= phase.from }.maxOf { checkNotNull(phase.limitAt(it)) } *
                    STEP.toDouble(DurationUnit.SECONDS)
            }
        return OVERSHOOT * requests + SLACK
    }

    /** Servers that got too little in a phase, after [SETTLING] in which its beginning is learnt. */
    fun shortfalls(): List<String> =
        servers.flatMap { server ->
            server.phases.filter { it.limits == null || it.limits.size == 1 }.mapNotNull { phase ->
                val from = phase.from + SETTLING
                val until = server.end(phase)
                val leaderless = if (phase.limits == null) Duration.ZERO else leaderlessWithin(from, until)
                val length = (until - from - leaderless).toDouble(DurationUnit.SECONDS)
                if (length <= 0) return@mapNotNull null
                val wanted = minOf(phase.limits?.single() ?: DEMAND, DEMAND) * length * LEAST_SHARE - 1
                val got = server.arrivals.count { it.phase === phase && it.at >= from }
                if (got >= wanted) null else "${server.id}: $got requests from $from to $until; wanted ${wanted.toLong()}"
            }
        }

    private fun leaderlessWithin(
        from: Duration,
        until: Duration,
    ): Duration =
        leaderlessTimes.fold(Duration.ZERO) { sum, (start, end) ->
            sum + (minOf(end, until) - maxOf(start, from)).coerceAtLeast(Duration.ZERO)
        }

    private fun at(
        time: Duration,
        action: () -> Unit,
    ) {
        events += Event(time, eventCount++, action)
    }

    /** Runs [action] at [time], or when [entry] is no longer frozen. */
    private fun at(
        time: Duration,
        entry: Entry,
        action: () -> Unit,
    ): Unit =
        at(time) {
            if (now < entry.frozenUntil) {
                at(entry.frozenUntil, entry, action)
            } else {
                entry.clock.time = now
                action()
            }
        }

    private fun every(
        period: Duration,
        action: () -> Unit,
    ): Unit =
        at(now + period) {
            action()
            every(period, action)
        }

    private fun millis(
        from: Int,
        until: Int,
    ) = random.nextInt(from, until).milliseconds

    fun run() {
        elect()
        heartbeat()
        every(500.milliseconds) { heartbeat() }
        for (fall in listOf(8, 18, 28)) at(fall.seconds + millis(0, 4_000)) { changeLeader() }
        every(1.seconds) { entries.random(random).let { if (random.nextInt(4) == 0) it.frozenUntil = now + millis(200, 3_000) } }
        every(REQUEST_INTERVAL) { entries.random(random).let { entry -> at(now, entry) { ask(entry, ++requestCount, 0) } } }
        while (true) {
            val event = events.poll() ?: return
            if (event.at >= END) return
            now = event.at
            event.action()
        }
    }

    private fun heartbeat() {
        val reports = servers.map { it.report() }
        leader?.dispatcher?.updateServers(reports, now)
        for (entry in entries) at(now + millis(1, 100), entry) { reports.forEach { entry.view.recordReport(it, direct = true) } }
    }

    private fun elect() {
        val dispatcher = Dispatcher(DispatchOptions(), now, hasPredecessor = lastTerm > 0)
        dispatcher.configure(configuration, emptyMap(), now)
        dispatcher.updateServers(servers.map { it.report() }, now)
        leader = Leader(++lastTerm, dispatcher)
    }

    private fun changeLeader() {
        leader = null
        val from = now
        at(now + millis(0, 1_500)) {
            leaderlessTimes += from to now + REPORT_TIME
            elect()
        }
    }

    private fun ask(
        entry: Entry,
        number: Long,
        asked: Int,
    ) {
        val request = DispatchRequest(entry.name, number, SERVICE, null, 0, "z", 1_000, 5_000, limits = entry.view.serverLimits.report())
        at(now + messageDelay()) {
            val deciding =
                leader ?: return@at at(now + 200.milliseconds, entry) { send(entry, number, decideLocally(entry, request), null) }
            val report = request.limits
            val decision =
                if (report?.term != null && report.term != deciding.term) {
                    DispatchDecision.Wait
                } else {
                    deciding.dispatcher.recordLimits(report?.statements.orEmpty(), deciding.term)
                    (deciding.dispatcher.admit(request, now) as Admission.Decided).decision
                }
            at(now + messageDelay(), entry) {
                if (report != null) entry.view.serverLimits.acknowledge(report, deciding.term)
                if (decision == DispatchDecision.Wait &&
                    asked < 2
                ) {
                    ask(entry, number, asked + 1)
                } else {
                    send(entry, number, decision, deciding)
                }
            }
        }
    }

    private fun decideLocally(
        entry: Entry,
        request: DispatchRequest,
    ): DispatchDecision = entry.local.decide(request, now)

    private fun messageDelay(): Duration = if (random.nextInt(20) == 0) millis(1, 200) else millis(1, 20)

    private fun send(
        entry: Entry,
        number: Long,
        decision: DispatchDecision,
        decidedBy: Leader?,
    ) {
        if (decision !is DispatchDecision.Send) return
        at(now + decision.holdMillis.milliseconds, entry) {
            val sentAt = now
            val incarnation = ServerIncarnation(decision.server, entry.view.server(decision.server)?.startedAtMillis ?: 0)
            val grant = decidedBy?.let { leader -> decision.limitSequence?.let { LimitGrant(leader.term, it) } }
            at(now + millis(1, 20)) { arrive(entry, number, incarnation, grant, sentAt, decidedBy) }
        }
    }

    private fun arrive(
        entry: Entry,
        number: Long,
        incarnation: ServerIncarnation,
        grant: LimitGrant?,
        sentAt: Duration,
        decidedBy: Leader?,
    ) {
        val server = servers.single { it.id == incarnation.server }
        // A server that has started anew answers 421 to a request for the process before, and does not run it.
        if (server.startedAtMillis(now) != incarnation.startedAtMillis) return
        val phase = server.phaseAt(now)
        val isTold = entry.toldAt[phase]?.let { now >= it + TOLD_BEFORE } == true
        server.arrivals += Arrival(now, phase, isTold && entry.isInTouch)
        at(now + millis(10, 60)) {
            val answering = server.phaseAt(now)
            val limit = answering.limitAt(now)
            at(now + if (random.nextInt(10) == 0) millis(1, 400) else millis(1, 20), entry) {
                entry.view.serverLimits.record(incarnation, limit, grant, sentAt, now)
                if (limit != null) entry.toldAt.putIfAbsent(answering, now)
                val ended = listOf(RequestEvent(number, RequestStep.ENDED))
                at(now + messageDelay()) { decidedBy?.dispatcher?.applyEvents(entry.name, ended, now) }
            }
        }
    }

    private companion object {
        const val SERVICE = "s"
        val END = 42.seconds
        val WINDOW = 4.seconds
        val STEP = 10.milliseconds
        val CONTACT = 3.seconds
        val TOLD_BEFORE = 500.milliseconds

        /** Time in which a new leader is told of the limits. */
        val REPORT_TIME = 1.seconds
        val REQUEST_INTERVAL = 3.milliseconds

        /** Time in which a limit that falls reaches an instance, with an answer, half a second before it binds that instance. */
        val SPREAD_TIME = 1.seconds
        const val OVERSHOOT = 1.5
        const val SLACK = 5.0

        /** Requests per second that each server gets at least while no limit is named: a quarter of all, less what was refused. */
        const val DEMAND = 80.0

        /** Longer than the interval in which a server that takes next to nothing is asked whether its limit has ended. */
        val SETTLING = 6.seconds
        const val LEAST_SHARE = 0.6
    }
}

/** Schedules to play: 1 to 6, or those of `-DlimitSeeds=FIRST-LAST`. */
internal val limitSeeds: LongRange =
    (System.getProperty("limitSeeds") ?: "1-6").split('-').map(String::toLong).let { (first, last) -> first..last }
