package anvilslip.gateway

import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.LoadedModel
import anvilslip.policy.ServerIncarnation
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.AdapterName
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class LocalDispatchSpec :
    DescribeSpec({
        val now = 10.seconds
        val request =
            DispatchRequest("e", 1, "app", null, 0, "z1", targetMillis = 1000, remainingMillis = 9000, model = "m", adapter = "a")

        class Local(
            servers: Int,
            held: Map<String, Long> = emptyMap(),
            load: LocalLoad = LocalLoad { 0 },
        ) {
            val view = ClusterView({ ServingConfiguration(1).right() }, TestClock(now), emptySet(), heartbeat = 1.seconds)
            val dispatch = LocalDispatch(view, load, Random(1))

            init {
                repeat(servers) {
                    val models = listOf(LoadedModel("m", held))
                    view.recordReport(
                        ServerReport("s$it", "app", "s$it:80", "z1", ServerPhase.READY, 1, 1, models = models),
                        direct = true,
                    )
                }
            }

            fun server(request: DispatchRequest) = (dispatch.decide(request, now) as? DispatchDecision.Send)?.server
        }

        describe("the choice among servers that are as busy") {
            // Guards against all instances sending to the first server of the list.
            it("is random") {
                val local = Local(servers = 10, held = mapOf("a" to 1L))
                List(1000) { local.server(request) }.groupingBy { it }.eachCount().let { counts ->
                    counts.size shouldBe 10
                    counts.values.min() shouldBeGreaterThan 50
                }
            }

            it("is the one with the shorter expected wait of two") {
                val load = LocalLoad { if (it == "s0") 0 else 1 }
                val local = Local(servers = 2, held = mapOf("a" to 1L), load = load)
                List(100) { local.server(request) }.toSet() shouldBe setOf("s0")
            }
        }

        describe("a request that resumes a stream") {
            fun Local.setVersion(
                server: String,
                version: String,
            ) = view.recordReport(view.server(server)!!.copy(sequence = 2, softwareVersion = version), direct = true)

            it("is sent only to a server of the software version that began it, and refused without one") {
                val local = Local(servers = 3, held = mapOf("a" to 1L))
                for ((server, version) in listOf("s0" to "v1", "s1" to "v2", "s2" to "v2")) local.setVersion(server, version)
                List(20) { local.server(request.copy(softwareVersion = "v1")) }.toSet() shouldBe setOf("s0")
                val refusal = local.dispatch.decide(request.copy(softwareVersion = "v3"), now) as DispatchDecision.Refuse
                refusal.reason shouldBe DispatchRefusal.VERSION_GONE
            }
        }

        describe("servers that have named a limit") {
            fun Local.limit(server: String) =
                view.serverLimits.record(ServerIncarnation(server, 1), 100.0, null, sentAt = now - 1.seconds, receivedAt = now)

            // Guards against a limit over all instances of which each that has no leader would use a part.
            it("get nothing from an instance that decides on its own") {
                val local = Local(servers = 3, held = mapOf("a" to 1L)).apply { listOf("s0", "s2").forEach { limit(it) } }
                List(100) { local.server(request) }.toSet() shouldBe setOf("s1")
            }

            it("cause a refusal if they are all that could serve a request") {
                val local = Local(servers = 2, held = mapOf("a" to 1L)).apply { repeat(2) { limit("s$it") } }
                val refusal = local.dispatch.decide(request, now) as DispatchDecision.Refuse
                refusal.reason shouldBe DispatchRefusal.LIMITED
                refusal.retryMillis shouldBeInRange 300L..1000L
            }
        }

        describe("servers that have served an adapter") {
            it("are all remembered, up to four for each adapter") {
                val local = Local(servers = 6)
                local.server(request) shouldBe null
                repeat(6) { local.dispatch.recordHolder("s$it", AdapterName("m", "a")) }
                List(200) { local.server(request) }.toSet() shouldContainExactlyInAnyOrder listOf("s2", "s3", "s4", "s5")
            }

            it("are forgotten when they turn out not to hold it") {
                val local = Local(servers = 2)
                repeat(2) { local.dispatch.recordHolder("s$it", AdapterName("m", "a")) }
                local.dispatch.recordNotHeld("s0", AdapterName("m", "a"))
                List(50) { local.server(request) }.toSet() shouldBe setOf("s1")
            }
        }

        describe("a refusal") {
            fun refusals(
                servers: Int,
                remaining: Long,
            ) = Local(servers).let { local ->
                List(500) { local.dispatch.decide(request.copy(remainingMillis = remaining), now) as DispatchDecision.Refuse }
            }

            // Guards against clients that are refused together and return together.
            it("names a retry delay that is spread over the time until a leader is expected") {
                for ((servers, reason) in mapOf(0 to DispatchRefusal.NO_SERVER, 1 to DispatchRefusal.LOADING)) {
                    val refused = refusals(servers, remaining = 9000)
                    refused.map { it.reason }.toSet() shouldBe setOf(reason)
                    refused.forEach { it.retryMillis shouldBeInRange 300L..1000L }
                    refused.minOf { it.retryMillis } shouldBeInRange 300L..350L
                    refused.maxOf { it.retryMillis } shouldBeInRange 950L..1000L
                }
            }

            it("names no delay beyond a third of what remains of the deadline") {
                refusals(1, remaining = 1200).maxOf { it.retryMillis } shouldBe 400
                refusals(1, remaining = -5).maxOf { it.retryMillis } shouldBe 0
            }
        }
    })
