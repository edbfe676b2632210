package anvilslip.gateway

import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRequest
import anvilslip.policy.LoadedModel
import anvilslip.policy.LocalLoads
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import java.util.PriorityQueue
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests of many entry instances that decide without a leader, against a model of the engines. */
class LocalDispatchReplaySpec :
    DescribeSpec({
        class Engine(
            val report: ServerReport,
            val tokensPerMilli: Double,
        ) {
            var prefillFreeAt = 0.0
            var tokens = 0L
            val slotsFreeAt = PriorityQueue<Double>()

            /** Returns when the answer to a request with [promptTokens] that arrives at [now] begins. */
            fun start(
                promptTokens: Int,
                now: Double,
            ): Double {
                while (slotsFreeAt.isNotEmpty() && slotsFreeAt.peek() <= now) slotsFreeAt.poll()
                val slotAt = if (slotsFreeAt.size < SLOTS) now else slotsFreeAt.poll()
                val answerAt = maxOf(prefillFreeAt, slotAt) + promptTokens / tokensPerMilli
                prefillFreeAt = answerAt
                tokens += promptTokens
                slotsFreeAt += answerAt + DECODE_MILLIS
                return answerAt
            }
        }

        class Event(
            val at: Double,
            val action: (Double) -> Unit,
        )

        class Entry(
            view: ClusterView,
            val zone: String,
            seed: Long,
        ) {
            val loads = LocalLoads()
            val load =
                object : LocalLoad {
                    override fun countRunning(server: String) = loads.countRunning(server)

                    override fun expectedWaitMillis(
                        server: String,
                        service: String,
                        promptTokens: Int,
                    ) = loads.expectedWaitMillis(server, service, promptTokens)
                }
            val dispatch = LocalDispatch(view, load, Random(seed))
        }

        class Outcome(
            val busiestToMean: Double,
            val shareInTarget: Double,
        )

        /** Requests and engines; `choose` returns the server for a request, or null if it is refused. */
        class Replay(
            speeds: List<Double>,
        ) {
            private val random = Random(7)
            private val adapters = List(ADAPTERS) { "a$it" }
            private val holders = adapters.mapIndexed { rank, _ -> holdersOf(rank) }
            private val cumulative = adapters.indices.runningFold(0.0) { sum, rank -> sum + (rank + POPULARITY_OFFSET).pow(-POPULARITY) }
            private val engines =
                List(ENGINES) {
                    val held = adapters.filterIndexed { rank, _ -> it in holders[rank] }.associateWith { 1L }
                    val models = listOf(LoadedModel("m", held))
                    val report = ServerReport("s$it", "app", "s$it:80", "z${it % ZONES}", ServerPhase.READY, 1, 1, SLOTS, models)
                    Engine(report, speeds[it % speeds.size])
                }.associateBy { it.report.id }
            private val clock = TestClock(10.seconds)
            private val view = ClusterView({ ServingConfiguration(1).right() }, clock, emptySet(), heartbeat = 1.seconds)
            private val events = PriorityQueue<Event>(compareBy { it.at })
            private var inTarget = 0

            /** The more popular half of the adapters is held by two engines. */
            private fun holdersOf(rank: Int): Set<Int> {
                val first = random.nextInt(ENGINES)
                return if (rank < ADAPTERS / 2) setOf(first, (first + random.nextInt(1, ENGINES)) % ENGINES) else setOf(first)
            }

            private fun pickAdapter(): String {
                val at = random.nextDouble() * cumulative.last()
                return adapters[cumulative.indexOfFirst { it > at } - 1]
            }

            fun run(choose: (Entry, DispatchRequest, now: Double) -> String?): Outcome {
                engines.values.forEach { view.recordReport(it.report, direct = true) }
                val entries = List(ENTRIES) { Entry(view, "z${it % ZONES}", it.toLong()) }
                var at = 0.0
                for (number in 1L..REQUESTS) {
                    at += 2 * random.nextDouble() * MILLIS / REQUESTS_PER_SECOND
                    val request =
                        DispatchRequest(
                            entry = "e",
                            number = number,
                            service = "app",
                            workspace = null,
                            charge = 0,
                            zone = "",
                            targetMillis = TARGET_MILLIS,
                            remainingMillis = 5 * TARGET_MILLIS,
                            model = "m",
                            adapter = pickAdapter(),
                            promptTokens = random.nextInt(MIN_TOKENS, MAX_TOKENS),
                        )
                    val entry = entries.random(random)
                    events += Event(at) { now -> send(entry, request.copy(zone = entry.zone), choose, now) }
                }
                while (true) events.poll()?.let { it.action(it.at) } ?: break
                val tokens = engines.values.map { it.tokens.toDouble() }
                return Outcome(tokens.max() / tokens.average(), inTarget.toDouble() / REQUESTS)
            }

            private fun send(
                entry: Entry,
                request: DispatchRequest,
                choose: (Entry, DispatchRequest, now: Double) -> String?,
                now: Double,
            ) {
                val server = choose(entry, request, now) ?: return
                val answerAt = engines.getValue(server).start(request.promptTokens, now)
                entry.loads.recordSent(request.number, server, "app", request.promptTokens, now.milliseconds)
                if (answerAt - now <= TARGET_MILLIS) inTarget++
                events += Event(answerAt) { entry.loads.recordAnswering(request.number, it.milliseconds) }
                events += Event(answerAt + DECODE_MILLIS) { entry.loads.recordEnded(request.number) }
            }

            /** The choice before: the server with the fewest own running requests, the first of those that are equal. */
            fun leastRunning(
                entry: Entry,
                request: DispatchRequest,
            ): String? =
                engines.values
                    .map { it.report }
                    .filter {
                        request.adapter in
                            it.models
                                .orEmpty()
                                .single()
                                .adapters
                    }.minByOrNull { entry.loads.countRunning(it.id) + if (it.zone == entry.zone) 0.0 else 0.5 }
                    ?.id

            fun localDispatch(
                entry: Entry,
                request: DispatchRequest,
                now: Double,
            ): String? = (entry.dispatch.decide(request, now.milliseconds) as? DispatchDecision.Send)?.server
        }

        fun compare(
            name: String,
            speeds: List<Double>,
        ): Pair<Outcome, Outcome> {
            val before = Replay(speeds).let { replay -> replay.run { entry, request, _ -> replay.leastRunning(entry, request) } }
            val after = Replay(speeds).let { it.run(it::localDispatch) }
            for ((version, outcome) in listOf("before" to before, "after" to after)) {
                println(
                    "$name, $version: busiest engine to mean %.2f, within the target %.4f".format(
                        outcome.busiestToMean,
                        outcome.shareInTarget,
                    ),
                )
            }
            return before to after
        }

        describe("68 entry instances without a leader") {
            // Guards against all instances sending to the same few engines while others are idle.
            it("spread the requests over engines of one speed") {
                val (before, after) = compare("speed 20", listOf(20.0))
                after.busiestToMean shouldBeLessThan before.busiestToMean + 0.1
                after.shareInTarget shouldBeGreaterThanOrEqual before.shareInTarget
            }

            it("send less to engines that they have found to be slow") {
                val (before, after) = compare("speeds 14, 14 and 34", listOf(14.0, 14.0, 34.0))
                after.shareInTarget shouldBeGreaterThan before.shareInTarget
            }
        }
    }) {
    private companion object {
        const val ENTRIES = 68
        const val ENGINES = 98
        const val ZONES = 3
        const val SLOTS = 64
        const val ADAPTERS = 300
        const val POPULARITY = 0.7
        const val POPULARITY_OFFSET = 10.0
        const val REQUESTS_PER_SECOND = 400.0
        const val REQUESTS = 6_000L
        const val MILLIS = 1000.0
        const val TARGET_MILLIS = 1000L

        /** Mean of 1,800. */
        const val MIN_TOKENS = 600
        const val MAX_TOKENS = 3001
        const val DECODE_MILLIS = 3_000.0
    }
}
