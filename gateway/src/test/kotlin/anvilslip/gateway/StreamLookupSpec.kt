package anvilslip.gateway

import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.policy.StreamOrigin
import anvilslip.policy.StreamRecord
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaView
import anvilslip.wire.PeerMessage
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class StreamLookupSpec :
    DescribeSpec({
        val origin = StreamOrigin("app", "v1")

        class Control {
            val clock = TestClock(0.seconds)
            val view = ClusterView({ ServingConfiguration(1).right() }, clock, emptySet(), heartbeat = 1.seconds)
            val streams = StreamRegistry(clock)
            var replica = ReplicaView(ReplicaId("c", "x"), leaseUntil = 1_000.seconds)
            val lookup = StreamLookup(streams, view, { replica }, clock) { 1.seconds }
            private var sequence = 0L

            fun report(version: String) =
                view.recordReport(
                    ServerReport(version, "app", "$version:80", "z", ServerPhase.READY, 1, ++sequence, softwareVersion = version),
                    direct = true,
                )

            fun find(
                attemptId: String? = "a1",
                services: Set<String> = setOf("app"),
            ) = lookup.find(PeerMessage.FindStream(attemptId, services, lifetimeMillis = 20_000))
        }

        fun steadyControl() =
            Control().apply {
                report("v1")
                clock.time = 60.seconds
                report("v1")
            }

        val unknown = PeerMessage.FindStreamReply(null)

        describe("a stream that an entry instance has reported") {
            it("has its origin, whatever runs now, for as long as its client may resume it") {
                val control = Control()
                control.streams.record(listOf(StreamRecord("a1", origin, 5_000)))
                control.report("v2")
                control.clock.time = 4.seconds
                control.find() shouldBe PeerMessage.FindStreamReply(origin)
                control.clock.time = 6.seconds
                control.find() shouldBe unknown
            }
        }

        describe("a stream that nobody has reported") {
            it("began at the only version that has served for as long as it may be resumed") {
                steadyControl().find() shouldBe PeerMessage.FindStreamReply(origin)
                steadyControl().find(attemptId = null) shouldBe PeerMessage.FindStreamReply(origin)
            }

            // Guards against a text that is joined because the version that began it has just left.
            it("has no known origin if another version has served meanwhile, also one that has left") {
                val control = steadyControl()
                control.report("v2")
                control.find() shouldBe unknown
                control.view.deregister("v1", startedAtMillis = 1)
                control.clock.time = 80.seconds
                control.report("v2")
                control.find() shouldBe unknown
                control.clock.time = 100.seconds
                control.report("v2")
                control.find() shouldBe PeerMessage.FindStreamReply(StreamOrigin("app", "v2"))
            }

            it("has no known origin if the process has not run for as long, or several services may have begun it") {
                val control = Control()
                control.clock.time = 10.seconds
                control.report("v1")
                control.find() shouldBe unknown
                steadyControl().find(services = setOf("app", "other")) shouldBe unknown
            }

            it("may still be reported to a leader that has just been elected") {
                val control = Control()
                control.clock.time = 1.5.seconds
                control.find() shouldBe PeerMessage.FindStreamReply(mayBeReported = true)
            }
        }

        describe("an instance that does not lead") {
            it("names the leader") {
                val control = Control()
                control.replica = ReplicaView(ReplicaId("c", "x"), leader = ReplicaId("d", "y"))
                control.find() shouldBe PeerMessage.NotLeader("d")
            }
        }
    })
