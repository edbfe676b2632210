package anvilslip.gateway

import anvilslip.policy.BackendService
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchOptions
import anvilslip.policy.DispatchRequest
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeaderDispatchSpec :
    DescribeSpec({
        val clock = TestClock(10.seconds)
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
    })
