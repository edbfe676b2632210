package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against servers that get more requests than they have named in their answers, and against limits that outlast their statement. */
class LimitedServersSpec :
    DescribeSpec({
        val engine = EngineProfile(64, 100_000, listOf(ModelProfile("m", 100.0, 1.seconds, 1.0)), 200.0, 2, 2.0)
        val services =
            mapOf(
                "app" to BackendService("app", 100),
                "cold" to BackendService("cold", 100, coldStart = 60.seconds, coldRequestsPerSecond = 1.0),
                "llm" to BackendService("llm", 100, engine),
            )

        class Leader(
            vararg servers: ServerReport,
            hasPredecessor: Boolean = false,
        ) {
            val dispatcher = Dispatcher(DispatchOptions(coldOvershoot = 1.5, coldSlack = 5.0), Duration.ZERO, hasPredecessor)
            var now = Duration.ZERO
            private var number = 0L

            init {
                dispatcher.configure(ServingConfiguration(1, services = services), emptyMap(), now)
                dispatcher.updateServers(servers.toList(), now)
                for (node in dispatcher.enginesToQuery(now)) {
                    dispatcher.recordInventory(node.id, EngineInventory(0, node.models.orEmpty()), now)
                }
            }

            fun limit(
                server: String,
                limit: Double?,
                grant: LimitGrant? = null,
            ) = dispatcher.recordLimits(listOf(LimitStatement(server, 1, limit, grant)), TERM)

            fun admit(
                service: String = "app",
                adapter: String? = null,
            ): Admission {
                val model = if (service == "llm") "m" else null
                val request = DispatchRequest("e", ++number, service, null, 0, "z", 1_000, 60_000, model, adapter)
                return dispatcher.admit(request, now).also {
                    if (decision(it) is DispatchDecision.Send) {
                        dispatcher.applyEvents("e", listOf(RequestEvent(number, RequestStep.ENDED)), now)
                    }
                }
            }

            private fun decision(admission: Admission) = (admission as? Admission.Decided)?.decision

            /** Lets [server] name [limit] again in its answer to a request that the leader has granted. */
            fun confirm(
                server: String,
                limit: Double,
            ) {
                limit(server, limit)
                send()
                now += 1.seconds
                limit(server, limit, LimitGrant(TERM, checkNotNull(send()?.limitSequence)))
            }

            fun send(service: String = "app") = decision(admit(service)) as? DispatchDecision.Send

            fun refusal(
                service: String = "app",
                adapter: String? = null,
            ) = decision(admit(service, adapter)).shouldBeInstanceOf<DispatchDecision.Refuse>()

            /** Requests that are sent within [seconds] if one is asked for every 10 ms, or whenever [isAsked]. */
            fun sentWithin(
                seconds: Int,
                service: String = "app",
                isAsked: () -> Boolean = { true },
            ): Int =
                (1..seconds * 100).count {
                    now += 10.milliseconds
                    isAsked() && send(service) != null
                }
        }

        fun server(
            id: String,
            service: String = "app",
            adapters: Map<String, Long> = emptyMap(),
            coldMillis: Long = 0,
        ) = ServerReport(
            id,
            service,
            "$id:80",
            "z",
            ServerPhase.READY,
            1,
            1,
            64,
            if (service == "llm") listOf(LoadedModel("m", adapters)) else null,
            coldMillis = coldMillis,
        )

        describe("a server that has named a limit") {
            it("gets what the limit allows, over all entry instances") {
                val leader = Leader(server("s")).apply { limit("s", 1.2) }
                leader.sentWithin(10) shouldBeInRange 11..12
            }

            // Guards against a burst right after instances that did not know of the limit have sent.
            it("gets nothing until the limit allows a request since it is known") {
                val leader = Leader(server("s")).apply { limit("s", 2.0) }
                leader.send() shouldBe null
                leader.now += 499.milliseconds
                leader.send() shouldBe null
                leader.now += 1.milliseconds
                leader.send()?.server shouldBe "s"
            }

            // Guards against a window of four seconds that is exceeded by what was sent before the limit was known.
            it("gets nothing for a while if it had got more than the limit allows") {
                val leader = Leader(server("s"))
                val before = leader.sentWithin(1, isAsked = { leader.now.inWholeMilliseconds % 100 == 0L })
                before shouldBe 10
                leader.limit("s", 1.2)
                val after = leader.sentWithin(3)
                (before + after) shouldBeInRange 10..12
                leader.sentWithin(4) shouldBeInRange 4..5
            }

            // Guards against a new leader that grants by an earlier limit, before an instance that knows the present one has reported it.
            it("gets nothing from a new leader before the instances had time to report, and what the limit allows since") {
                val leader = Leader(server("s"), hasPredecessor = true).apply { limit("s", 1e9) }
                leader.refusal().retryMillis shouldBeInRange 1250L..1252L
                leader.now += 500.milliseconds
                leader.limit("s", 2.0)
                leader.now += 999.milliseconds
                leader.send() shouldBe null
                leader.now += 1.milliseconds
                leader.send()?.server shouldBe "s"
            }

            // Guards against a limit that has fallen while there was no leader, which no answer can have told.
            it("gets few requests until one of them is answered, whatever limit is reported") {
                val leader = Leader(server("s")).apply { limit("s", 1e9) }
                leader.sentWithin(5) shouldBeInRange 19..22
            }

            it("gets no more after a pause than a request and half a second of the limit") {
                val leader = Leader(server("s")).apply { confirm("s", 10.0) }
                leader.now += 60.seconds
                generateSequence { leader.send() }.count() shouldBe 6
            }

            // Guards against the end of a limit that a new leader notices only seconds later.
            it("gets a first request within a second even if the limit is lower") {
                val leader = Leader(server("s")).apply { limit("s", 0.0) }
                leader.refusal().retryMillis shouldBeInRange 1000L..1002L
                leader.now += 1.seconds
                leader.send()?.server shouldBe "s"
            }

            it("gets one request in four seconds if the limit is lower, so that its end is noticed") {
                val leader = Leader(server("s")).apply { limit("s", 0.0) }
                leader.sentWithin(20) shouldBeInRange 5..6
            }

            it("is not bounded by a limit beyond all demand") {
                val leader = Leader(server("s")).apply { confirm("s", 1e9) }
                leader.sentWithin(1) shouldBeInRange 99..100
            }

            it("does not keep requests from other servers") {
                val leader = Leader(server("s"), server("t")).apply { limit("s", 0.2) }
                List(50) { leader.send()?.server }.toSet() shouldBe setOf("t")
            }

            it("gets no more than a cold server if it is cold as well") {
                val leader = Leader(server("s", "cold", coldMillis = 60_000)).apply { limit("s", 100.0) }
                leader.sentWithin(5, "cold") shouldBeInRange 4..5
                leader.limit("s", 0.5)
                leader.sentWithin(8, "cold") shouldBeInRange 3..5
            }
        }

        describe("a server whose answer names no limit any more") {
            it("gets all requests again once the request of that answer was granted after the limit was known") {
                val leader = Leader(server("s")).apply { limit("s", 1.0) }
                leader.limit("s", null)
                leader.send() shouldBe null
                leader.now += 1.seconds
                val sequence = checkNotNull(leader.send()?.limitSequence)
                leader.limit("s", null, LimitGrant(TERM - 1, sequence))
                leader.send() shouldBe null
                leader.limit("s", null, LimitGrant(TERM, sequence))
                leader.sentWithin(1) shouldBe 100
                leader.send()?.limitSequence shouldBe null
            }
        }

        describe("a request for which all servers are limited") {
            it("is refused at once with the time until the first of them has room") {
                val leader = Leader(server("s"), server("t")).apply { limit("s", 0.5) }
                leader.limit("t", 2.0)
                val refusal = leader.refusal()
                refusal.reason shouldBe DispatchRefusal.LIMITED
                refusal.servers shouldBe 2
                refusal.retryMillis shouldBeInRange 500L..502L
                leader.now += refusal.retryMillis.milliseconds
                leader.send()?.server shouldBe "t"
            }

            it("makes no other limited server load its adapter while one holds it") {
                val holder = server("s", "llm", mapOf("a" to 1L))
                val leader = Leader(holder, server("t", "llm")).apply { limit("s", 1.0) }
                leader.limit("t", 100.0)
                leader.refusal("llm", "a")
                leader.now += 500.milliseconds
                leader.refusal("llm", "a").reason shouldBe DispatchRefusal.LIMITED
            }

            it("has its adapter loaded on a limited server if no server holds it") {
                val leader = Leader(server("s", "llm")).apply { limit("s", 100.0) }
                leader.refusal("llm", "a")
                leader.now += 500.milliseconds
                leader.admit("llm", "a").shouldBeInstanceOf<Admission.Load>()
            }
        }

        describe("a request whose adapter only a limited server without room holds") {
            it("has it loaded on a server that is not limited") {
                val leader = Leader(server("s", "llm", mapOf("a" to 1L)), server("t", "llm")).apply { limit("s", 0.2) }
                leader
                    .admit("llm", "a")
                    .shouldBeInstanceOf<Admission.Load>()
                    .order.server shouldBe "t"
            }
        }

        describe("the queue for admission") {
            // Guards against requests of low priority that take what a limit allows because they ask again at the right moment.
            it("gives what limits allow to the most urgent request, and refuses what they cannot serve within its target") {
                val harness = AdmissionHarness()
                val statements = List(32) { LimitStatement("s$it", 1, 0.05) }
                harness.dispatcher.recordLimits(statements, TERM)
                harness.ask(harness.request())
                harness.wakeAfter(500.milliseconds)
                val late = harness.request(target = 100.milliseconds)
                harness.ask(late).shouldBeInstanceOf<DispatchDecision.Refuse>().reason shouldBe DispatchRefusal.LIMITED
                val low = harness.request(priority = 3)
                val urgent = harness.request(priority = 1)
                harness.ask(low) shouldBe null
                harness.ask(urgent) shouldBe null
                val answers = harness.wakeAfter(510.milliseconds).filter { it.decision is DispatchDecision.Send }
                answers.first().key shouldBe urgent.key
            }
        }
    })

private const val TERM = 5L
