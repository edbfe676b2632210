package anvilslip.gateway

import anvilslip.kernel.SystemClock
import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.EngineInventory
import anvilslip.policy.EngineProfile
import anvilslip.policy.FencingToken
import anvilslip.policy.LimitReport
import anvilslip.policy.LimitStatement
import anvilslip.policy.LoadedModel
import anvilslip.policy.ModelProfile
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestStep
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
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class LeaderDispatchSpec :
    DescribeSpec({
        val clock = TestClock(10.seconds)

        /** Less than the 450 ms that entry instances wait for an answer, by what the messages may take. */
        val waitLimit = 350.milliseconds
        val configuration = ServingConfiguration(1, services = mapOf("app" to BackendService("app", 100)))

        /** A leader whose lease ends at the time that [leaseUntil] returns. */
        fun leader(leaseUntil: () -> Duration): LeaderDispatch {
            val view = { ReplicaView(ReplicaId("c", "x"), ReplicaRole.LEADER, term = 3, leaseUntil = leaseUntil()) }
            val clusterView = ClusterView({ configuration.right() }, clock, emptySet(), heartbeat = 1.seconds)
            clusterView.applyDocument(ConfigurationDocument(1, "text"))
            clusterView.recordReport(ServerReport("a", "app", "a:80", "z1", ServerPhase.READY, 1, 1, slots = 10), direct = true)
            val watches = WatchResponder("c", "x", clusterView, view, clock)
            return LeaderDispatch(
                view,
                clusterView,
                watches,
                ScriptedEngineClient(),
                DispatchOptions(),
                OrderHandover(Duration.ZERO, false),
                clock,
            )
        }

        fun request(number: Long) = DispatchRequest("e", number, "app", null, 0, "z1", targetMillis = 1000, remainingMillis = 5000)

        fun ended(number: Long) = PeerMessage.Progress("e", listOf(RequestEvent(number, RequestStep.ENDED)), emptyList())

        describe("a leader whose lease lapses for a moment") {
            it("does not take requests that end meanwhile to be running") {
                var leaseUntil = clock.time + 400.milliseconds
                val leader = leader { leaseUntil }
                for (number in 1L..2L) {
                    val reply = leader.admit(request(number)).shouldBeInstanceOf<PeerMessage.AdmitReply>()
                    reply.decision.shouldBeInstanceOf<DispatchDecision.Send>()
                }
                leader.runningRequests shouldBe 2
                clock.time = leaseUntil + 10.milliseconds
                leader.admit(request(3)).shouldBeInstanceOf<PeerMessage.NotLeader>()
                leader.recordProgress(ended(1))
                leaseUntil = clock.time + 400.milliseconds
                leader.runningRequests shouldBe 1
            }
        }

        describe("a leader that is asked by an instance that knows the limit of a server") {
            val statement = LimitStatement("a", 1, 0.0)

            fun request(
                number: Long,
                limits: LimitReport?,
            ) = DispatchRequest("e", number, "app", null, 0, "z1", targetMillis = 1000, remainingMillis = 5000, limits = limits)

            fun PeerMessage.decision() = shouldBeInstanceOf<PeerMessage.AdmitReply>().decision

            // Guards against a leader that decides for an instance that has been told of a limit, and does not know the limit itself.
            it("decides with that knowledge, also for instances that were told nothing") {
                val leader = leader { clock.time + 1.minutes }
                for (limits in listOf(LimitReport(null, listOf(statement), 1), LimitReport(3, emptyList(), 1), null)) {
                    val refusal = leader.admit(request(1, limits)).decision().shouldBeInstanceOf<DispatchDecision.Refuse>()
                    refusal.reason shouldBe DispatchRefusal.LIMITED
                }
            }

            it("has the instance ask again with all limits if it has told some of them only to a leader of another term") {
                val leader = leader { clock.time + 1.minutes }
                leader.admit(request(1, LimitReport(2, emptyList(), 1))).decision() shouldBe DispatchDecision.Wait
            }
        }

        describe("a leader of many busy engines") {
            val model = ModelProfile("m", weightsMb = 1.0, loadTime = 10.milliseconds, adapterMb = 1.0)
            val profile = EngineProfile(1, 100_000, listOf(model), weightsMb = 10.0, adapterSlots = 2, loadsPerSecond = 100.0)
            val engines = ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 100, profile)))

            fun view(term: Long) =
                ReplicaView(ReplicaId("c", "x"), ReplicaRole.LEADER, term = term, leaseUntil = SystemClock.elapsed() + 1.minutes)

            fun engineRequest(number: Long) =
                DispatchRequest("e", number, "llm", null, 0, "z1", 1000, remainingMillis = 5000, model = "m", promptTokens = 100)

            /** A leader of 32 engines, each of which runs one request. */
            suspend fun busyLeader(view: () -> ReplicaView): LeaderDispatch {
                val clusterView = ClusterView({ engines.right() }, SystemClock, emptySet(), heartbeat = 10.seconds)
                clusterView.applyDocument(ConfigurationDocument(1, "text"))
                for (i in 1..32) {
                    val models = listOf(LoadedModel("m", emptyMap()))
                    clusterView.recordReport(ServerReport("s$i", "llm", "s$i:80", "z1", ServerPhase.READY, 1, 1, 1, models), direct = true)
                }
                val watches = WatchResponder("c", "x", clusterView, view, SystemClock)
                val handover = OrderHandover(Duration.ZERO, false)
                val leader =
                    LeaderDispatch(view, clusterView, watches, ScriptedEngineClient(), DispatchOptions(), handover, SystemClock)
                leader.start()
                for (number in 1L..32L) {
                    val reply = leader.admit(engineRequest(number)).shouldBeInstanceOf<PeerMessage.AdmitReply>()
                    reply.decision.shouldBeInstanceOf<DispatchDecision.Send>()
                }
                return leader
            }

            fun PeerMessage.decision() = shouldBeInstanceOf<PeerMessage.AdmitReply>().decision

            it("sends a waiting request as soon as one of them has room") {
                val leading = view(3)
                val leader = busyLeader { leading }
                coroutineScope {
                    val answer = async { leader.admit(engineRequest(33)) }
                    delay(50.milliseconds)
                    answer.isCompleted shouldBe false
                    leader.recordProgress(ended(1))
                    answer.await().decision().shouldBeInstanceOf<DispatchDecision.Send>()
                }
                leader.stop()
            }

            // Guards against a request that entry instances take to be lost, because they wait 450 ms for an answer.
            it("tells the entry instance to ask again, and sends nothing that no entry instance asks for") {
                val leading = view(3)
                val leader = busyLeader { leading }
                leader.admit(engineRequest(33)).decision() shouldBe DispatchDecision.Wait
                leader.recordProgress(ended(1))
                delay(100.milliseconds)
                leader.runningRequests shouldBe 31
                leader.admit(engineRequest(33)).decision().shouldBeInstanceOf<DispatchDecision.Send>()
                leader.stop()
            }

            it("forgets a request whose client has left") {
                val leading = view(3)
                val leader = busyLeader { leading }
                coroutineScope {
                    val left = async { leader.admit(engineRequest(33)) }
                    val withdrawn = async { leader.admit(engineRequest(34)) }
                    delay(50.milliseconds)
                    left.cancel()
                    leader.recordProgress(ended(34))
                    withdrawn.await().shouldBeInstanceOf<PeerMessage.NotLeader>()
                }
                leader.recordProgress(ended(1))
                delay(100.milliseconds)
                leader.runningRequests shouldBe 31
                leader.stop()
            }

            it("that loses its lease answers the entry instances of waiting requests, which ask the next leader") {
                var leading = view(3)
                val leader = busyLeader { leading }
                coroutineScope {
                    val answer = async { leader.admit(engineRequest(33)) }
                    delay(50.milliseconds)
                    leading = leading.copy(leaseUntil = Duration.ZERO)
                    answer.await().shouldBeInstanceOf<PeerMessage.NotLeader>()
                }
                leading = view(4)
                leader.admit(engineRequest(33)).decision().shouldBeInstanceOf<DispatchDecision.Send>()
                leader.runningRequests shouldBe 1
                leader.stop()
            }
        }

        describe("a leader of many engines that answer orders late") {
            val model = ModelProfile("m", weightsMb = 1.0, loadTime = 10.milliseconds, adapterMb = 1.0)
            val profile = EngineProfile(4, 10_000, listOf(model), weightsMb = 10.0, adapterSlots = 1, loadsPerSecond = 100.0)
            val engines = ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 100, profile)))

            /** A leader of 40 engines, which sends orders through [sendOrder]. */
            fun leaderOf40(
                view: () -> ReplicaView,
                sendOrder: suspend (EngineOrder) -> OrderReply,
            ): LeaderDispatch {
                val models = listOf(LoadedModel("m", emptyMap()))
                val clusterView = ClusterView({ engines.right() }, SystemClock, emptySet(), heartbeat = 10.seconds)
                clusterView.applyDocument(ConfigurationDocument(1, "text"))
                for (i in 1..40) {
                    clusterView.recordReport(ServerReport("s$i", "llm", "s$i:80", "z1", ServerPhase.READY, 1, 1, 4, models), direct = true)
                }
                val client =
                    object : EngineClient by ScriptedEngineClient(inventory = EngineInventory(0, models)) {
                        override suspend fun sendOrder(
                            order: EngineOrder,
                            fencingToken: Long,
                        ): OrderReply = sendOrder(order)
                    }
                val watches = WatchResponder("c", "x", clusterView, view, SystemClock)
                return LeaderDispatch(
                    view,
                    clusterView,
                    watches,
                    client,
                    DispatchOptions(),
                    OrderHandover(Duration.ZERO, false),
                    SystemClock,
                )
            }

            val leading =
                ReplicaView(ReplicaId("c", "x"), ReplicaRole.LEADER, term = 3, leaseUntil = SystemClock.elapsed() + 1.minutes)

            /** Starts [leader], and has it load 20 adapters, each on an engine of its own. */
            suspend fun loadAdapters(leader: LeaderDispatch) {
                leader.start()
                delay(500.milliseconds)
                coroutineScope {
                    for (number in 1L..20L) {
                        launch {
                            leader.admit(
                                request(number).copy(service = "llm", model = "m", adapter = "x$number"),
                            )
                        }
                    }
                }
            }

            // Guards against orders of two leaders in turns, and against orders that all take longer than the leader waits for an engine.
            it("has a bounded number of orders in progress, and sends none whose turn comes after its lease has ended") {
                var view = leading
                val answered = CompletableDeferred<Unit>()
                val sent = AtomicInteger()
                val leader =
                    leaderOf40({ view }) {
                        sent.incrementAndGet()
                        answered.await()
                        OrderReply.TAKEN
                    }
                loadAdapters(leader)
                sent.get() shouldBe 16
                view = leading.copy(leaseUntil = Duration.ZERO)
                answered.complete(Unit)
                delay(200.milliseconds)
                leader.stop()
                sent.get() shouldBe 16
            }

            // Guards against orders that wait behind all three tries of those to engines that have gone.
            it("sends every order once before it sends one for the third time") {
                val triesBefore = CompletableDeferred<Set<String>>()
                val tries = ConcurrentHashMap<String, Int>()
                val leader =
                    leaderOf40({ leading }) {
                        if (tries.merge(it.server, 1, Int::plus) == 3) triesBefore.complete(tries.keys.toSet())
                        delay(150.milliseconds)
                        OrderReply.UNANSWERED
                    }
                loadAdapters(leader)
                val tried = withTimeoutOrNull(5.seconds) { triesBefore.await() }
                leader.stop()
                tried?.size shouldBe 20
            }
        }

        describe("a leader in which something fails once") {
            val model = ModelProfile("m", weightsMb = 1.0, loadTime = 10.milliseconds, adapterMb = 1.0)
            val profile = EngineProfile(4, 1_000, listOf(model), weightsMb = 10.0, adapterSlots = 2, loadsPerSecond = 100.0)

            /** A leader of one engine without a model. */
            fun leaderOfEngine(
                engineClient: EngineClient,
                view: () -> ReplicaView,
            ): LeaderDispatch {
                val engines = ServingConfiguration(1, services = mapOf("llm" to BackendService("llm", 100, profile)))
                val clusterView = ClusterView({ engines.right() }, SystemClock, emptySet(), heartbeat = 10.seconds)
                clusterView.applyDocument(ConfigurationDocument(1, "text"))
                val report = ServerReport("a", "llm", "a:80", "z1", ServerPhase.READY, 1, 1, slots = 4, models = emptyList())
                clusterView.recordReport(report, direct = true)
                val watches = WatchResponder("c", "x", clusterView, view, SystemClock)
                return LeaderDispatch(
                    view,
                    clusterView,
                    watches,
                    engineClient,
                    DispatchOptions(),
                    OrderHandover(Duration.ZERO, false),
                    SystemClock,
                )
            }

            val leading =
                ReplicaView(ReplicaId("c", "x"), ReplicaRole.LEADER, term = 3, leaseUntil = SystemClock.elapsed() + 1.minutes)

            suspend fun ordersSent(
                engineClient: ScriptedEngineClient,
                count: Int,
            ): Boolean =
                withTimeoutOrNull(8.seconds) {
                    while (engineClient.sentOrders.size < count) delay(10.milliseconds)
                } != null

            // Guards against a leader that keeps its lease but sends no orders and follows no change of the servers any more.
            it("goes on after an error in its periodic work") {
                var failure: Throwable? = AssertionError("unexpected")
                val engineClient = ScriptedEngineClient(OrderReply.TAKEN, inventory = EngineInventory(0, emptyList()))
                val leader =
                    leaderOfEngine(engineClient) {
                        failure?.let {
                            failure = null
                            throw it
                        }
                        leading
                    }
                leader.start()
                ordersSent(engineClient, 1) shouldBe true
                leader.stop()
            }

            // Guards against an engine that is taken to be loading for ever, because the outcome of its order was never recorded.
            it("sends an engine another order after an error while it sent one") {
                val scripted = ScriptedEngineClient(OrderReply.TAKEN, OrderReply.TAKEN, inventory = EngineInventory(0, emptyList()))
                val failing =
                    object : EngineClient by scripted {
                        override suspend fun sendOrder(
                            order: EngineOrder,
                            fencingToken: Long,
                        ): OrderReply {
                            val reply = scripted.sendOrder(order, fencingToken)
                            if (scripted.sentOrders.size == 1) throw AssertionError("unexpected")
                            return reply
                        }
                    }
                val leader = leaderOfEngine(failing) { leading }
                leader.start()
                ordersSent(scripted, 2) shouldBe true
                leader.stop()
            }

            // Guards against a leader that repeats an order with a refused token, and against one that delegates of its term lock out.
            it("raises its generation after an engine has refused its fencing token") {
                val replies = arrayOf(OrderReply.FENCED, OrderReply.FENCED, OrderReply.TAKEN)
                val scripted = ScriptedEngineClient(*replies, inventory = EngineInventory(0, emptyList()))
                val leader = leaderOfEngine(scripted) { leading }
                leader.start()
                ordersSent(scripted, 3) shouldBe true
                leader.stop()
                scripted.sentTokens shouldBe (0..2).map { FencingToken.ofLeader(3, it).value }
            }

            // Guards against a leader that loads again what delegates have loaded while no leader was reachable.
            it("learns from the state of the engines which adapters delegates have loaded before its term") {
                val held = listOf(LoadedModel("m", mapOf("x" to 1L)))
                val scripted = ScriptedEngineClient(inventory = EngineInventory(2, held))
                val leader = leaderOfEngine(scripted) { leading }
                leader.start()
                val request = request(1).copy(service = "llm", model = "m", adapter = "x")
                val decision =
                    withTimeoutOrNull(8.seconds) {
                        while (true) {
                            val reply = leader.admit(request).shouldBeInstanceOf<PeerMessage.AdmitReply>()
                            if (reply.decision is DispatchDecision.Send) return@withTimeoutOrNull reply.decision
                            delay(10.milliseconds)
                        }
                    }
                leader.stop()
                decision.shouldBeInstanceOf<DispatchDecision.Send>()
                scripted.sentOrders.size shouldBe 0
            }

            // Guards against a leader that an entry instance takes for lost, because one engine does not answer an order.
            it("answers before its entry instance gives up if an engine does not answer an order") {
                val scripted = ScriptedEngineClient(inventory = EngineInventory(0, listOf(LoadedModel("m", emptyMap()))))
                val silent =
                    object : EngineClient by scripted {
                        override suspend fun sendOrder(
                            order: EngineOrder,
                            fencingToken: Long,
                        ): OrderReply {
                            delay(10.seconds)
                            return OrderReply.UNANSWERED
                        }
                    }
                val leader = leaderOfEngine(silent) { leading }
                leader.start()
                val request = request(1).copy(service = "llm", model = "m", adapter = "x")
                val decision =
                    withTimeoutOrNull(8.seconds) {
                        while (true) {
                            val reply = withTimeoutOrNull(waitLimit) { leader.admit(request) }
                            val decision = reply.shouldBeInstanceOf<PeerMessage.AdmitReply>().decision
                            if (decision !is DispatchDecision.Refuse) return@withTimeoutOrNull decision
                            delay(10.milliseconds)
                        }
                    }
                leader.stop()
                decision shouldBe DispatchDecision.Wait
            }
        }
    })
