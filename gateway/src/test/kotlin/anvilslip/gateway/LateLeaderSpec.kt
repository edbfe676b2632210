package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.SystemClock
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRequest
import anvilslip.policy.EngineInventory
import anvilslip.policy.EngineProfile
import anvilslip.policy.LoadedModel
import anvilslip.policy.ModelProfile
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.ConfigurationDocument
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaRole
import anvilslip.state.ReplicaView
import anvilslip.wire.PeerMessage
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** A leader that is short of processor time, so that its own steps and the exchanges with engines take long. */
class LateLeaderSpec :
    DescribeSpec({
        val model = ModelProfile("m", weightsMb = 1.0, loadTime = 10.milliseconds, adapterMb = 1.0)
        val profile = EngineProfile(4, 10_000, listOf(model), weightsMb = 10.0, adapterSlots = 2, loadsPerSecond = 100.0)
        val engines = ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 100, profile)))
        val holdsModel = EngineInventory(0, listOf(LoadedModel("m", emptyMap())))

        fun leaderOf(
            count: Int,
            engineClient: EngineClient,
            clock: Clock,
            view: () -> ReplicaView,
        ): LeaderDispatch {
            val clusterView = ClusterView({ engines.right() }, clock, emptySet(), heartbeat = 1.minutes)
            clusterView.applyDocument(ConfigurationDocument(1, "text"))
            for (i in 1..count) {
                val models = listOf(LoadedModel("m", emptyMap()))
                clusterView.recordReport(ServerReport("s$i", "llm", "s$i:80", "z1", ServerPhase.READY, 1, 1, 4, models), direct = true)
            }
            val watches = WatchResponder("c", "x", clusterView, view, clock)
            return LeaderDispatch(view, clusterView, watches, engineClient, DispatchOptions(), OrderHandover(Duration.ZERO, false), clock)
        }

        fun leading() = ReplicaView(ReplicaId("c", "x"), ReplicaRole.LEADER, term = 3, leaseUntil = SystemClock.elapsed() + 10.minutes)

        fun request(number: Long) =
            DispatchRequest("e", number, "llm", null, 0, "z1", 1000, remainingMillis = 5000, model = "m", adapter = "x", promptTokens = 100)

        // Guards against a slot that stays reserved, and an adapter for which every request waits until its deadline, because the load
        // that was decided after 400 ms is never ordered.
        for (late in listOf(Duration.ZERO, 450.milliseconds)) {
            it("orders the load that it has decided $late after the request arrived") {
                var lateness = Duration.ZERO
                var pendingLateness = Duration.ZERO
                val clock =
                    object : Clock by SystemClock {
                        override fun elapsed(): Duration = SystemClock.elapsed() + lateness
                    }
                val scripted = ScriptedEngineClient(OrderReply.TAKEN, inventory = holdsModel)
                val surveyed = AtomicInteger()
                val client =
                    object : EngineClient by scripted {
                        override suspend fun queryInventory(
                            server: String,
                            address: String,
                        ) = scripted.queryInventory(server, address).also { surveyed.incrementAndGet() }
                    }
                val view = leading()
                // The leader gets no processor time between the arrival of the request and the decision.
                val leader =
                    leaderOf(1, client, clock) {
                        lateness += pendingLateness
                        pendingLateness = Duration.ZERO
                        view
                    }
                leader.start()
                withTimeoutOrNull(8.seconds) { while (surveyed.get() == 0) delay(10.milliseconds) }
                delay(300.milliseconds)
                pendingLateness = late
                leader.admit(request(1))
                val decision =
                    withTimeoutOrNull(4.seconds) {
                        while (true) {
                            val reply = leader.admit(request(2)).shouldBeInstanceOf<PeerMessage.AdmitReply>()
                            if (reply.decision is DispatchDecision.Send) return@withTimeoutOrNull reply.decision
                            delay(10.milliseconds)
                        }
                    }
                leader.stop()
                decision.shouldBeInstanceOf<DispatchDecision.Send>()
                scripted.sentOrders.size shouldBe 1
            }
        }

        // Guards against a leader that asks engines more often the longer their answers take, until no answer is in time.
        it("surveys an engine once, however long the answer takes") {
            val surveys = ConcurrentHashMap<String, Int>()
            val slow =
                object : EngineClient by ScriptedEngineClient() {
                    override suspend fun queryInventory(
                        server: String,
                        address: String,
                    ): EngineInventory {
                        surveys.merge(server, 1, Int::plus)
                        delay(350.milliseconds)
                        return holdsModel
                    }
                }
            val view = leading()
            val leader = leaderOf(3, slow, SystemClock) { view }
            leader.start()
            delay(2.seconds)
            leader.stop()
            surveys shouldBe mapOf("s1" to 1, "s2" to 1, "s3" to 1)
        }
    })
