package anvilslip.gateway

import anvilslip.policy.EntryInstance
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import anvilslip.state.ConfigurationDocument
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaView
import anvilslip.wire.PeerMessage
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class WatchResponderSpec :
    DescribeSpec({
        val entry = EntryInstance("e", "e:80", "z1", "r", ready = true)

        class Control {
            var replica = ReplicaView(ReplicaId("c", "x"))
            val clusterView = ClusterView({ ServingConfiguration(1).right() }, TestClock(10.seconds), emptySet(), heartbeat = 1.seconds)
            val responder = WatchResponder("c", "x", clusterView, { replica }, TestClock(10.seconds))

            suspend fun ask(watch: PeerMessage.Watch) = responder.respond("e", watch) as PeerMessage.WatchReply
        }

        fun report(sequence: Long) = ServerReport("s$sequence", "app", "s$sequence:80", "z1", ServerPhase.READY, 1, sequence)

        /** Virtual time in milliseconds until an entry instance is answered, if [change] happens 100 ms after it asked, and the answer. */
        fun answerAfter(change: Control.() -> Unit): Pair<Long, PeerMessage.WatchReply> {
            var result: Pair<Long, PeerMessage.WatchReply>? = null
            runTest {
                val control = Control()
                val answer = async { control.ask(PeerMessage.Watch(entry, incarnation = "x", waitMillis = 900, term = 3)) to currentTime }
                delay(100)
                control.change()
                val (reply, time) = answer.await()
                result = time to reply
            }
            return checkNotNull(result)
        }

        describe("a long poll of an entry instance") {
            it("is answered at once when a server reports a change to this control instance") {
                val (time, reply) = answerAfter { clusterView.recordReport(report(1), direct = true) }
                time shouldBe 100
                reply.servers shouldBe listOf(report(1))
            }

            it("is answered at once when a configuration arrives") {
                answerAfter { clusterView.applyDocument(ConfigurationDocument(2, "text")) }.first shouldBe 100
            }

            it("is answered at once when an evacuation begins, also without a leader") {
                val (time, reply) = answerAfter { clusterView.applyEvacuations(ClusterView.Evacuations(setOf("z1", "z2"), 4)) }
                time shouldBe 100
                reply.evacuations shouldBe setOf("z1", "z2")
                reply.evacuationRevision shouldBe 4
            }

            it("is answered at once when the last evacuation ends") {
                val (time, reply) = answerAfter { clusterView.applyEvacuations(ClusterView.Evacuations(emptySet(), 5)) }
                time shouldBe 100
                reply.evacuations shouldBe emptySet()
            }

            it("is answered at once when a new leader is known") {
                val (time, reply) =
                    answerAfter {
                        replica = ReplicaView(ReplicaId("c", "x"), leader = ReplicaId("d", "y"), term = 4)
                        clusterView.observeLeader("d", 4)
                    }
                time shouldBe 100
                reply.leader shouldBe "d"
            }

            // Each control instance would otherwise send every change of every server to every entry instance at once.
            it("is not answered before its time for changes that another control instance has heard, but the answer contains them") {
                val (time, reply) = answerAfter { clusterView.recordReport(report(1), direct = false) }
                time shouldBe 900
                reply.servers shouldBe listOf(report(1))
            }

            it("is not answered before its time for a leader that the entry instance knows") {
                val (time, _) =
                    answerAfter {
                        replica = ReplicaView(ReplicaId("c", "x"), leader = ReplicaId("d", "y"), term = 3)
                        clusterView.observeLeader("d", 3)
                    }
                time shouldBe 900
            }
        }

        describe("the answer to an instance that knows the current evacuations") {
            it("does not contain them") {
                val control = Control()
                control.clusterView.applyEvacuations(ClusterView.Evacuations(setOf("z1"), 4))
                control.ask(PeerMessage.Watch(entry, evacuationRevision = 3)).evacuations shouldBe setOf("z1")
                control.ask(PeerMessage.Watch(entry, evacuationRevision = 4)).evacuations shouldBe null
            }
        }

        describe("the hosts of the entry instances in use") {
            // Guards against hosts in every answer, and against answers that change for deployments without load delegates.
            it("are contained only in answers to instances that ask for them and lack a change") {
                val clock = TestClock(10.seconds)
                val view = ClusterView({ ServingConfiguration(1).right() }, clock, emptySet(), heartbeat = 1.seconds)
                val responder = WatchResponder("c", "x", view, { ReplicaView(ReplicaId("c", "x")) }, clock)
                clock.time = 20.seconds
                val watch = PeerMessage.Watch(entry, incarnation = "x")

                suspend fun hosts(known: Int?) =
                    (responder.respond("e", watch.copy(entryHostsHash = known)) as PeerMessage.WatchReply).entryHosts
                hosts(null) shouldBe null
                hosts(0) shouldBe listOf("e")
                hosts(listOf("e").hashCode()) shouldBe null
            }
        }

        describe("the first answer to an instance that has restarted") {
            // Guards against requests to a server that has left, which an instance forgets when it restarts.
            it("contains the servers that signed off or drain, so that late reports cannot bring them back") {
                val control = Control()
                control.clusterView.recordReport(report(1), direct = true)
                control.clusterView.deregister("s1", startedAtMillis = 1)
                control.clusterView.recordReport(report(2).copy(phase = ServerPhase.DRAINING), direct = false)
                val reply = control.ask(PeerMessage.Watch(entry, incarnation = ""))
                val restarted = Control().clusterView
                reply.servers.forEach { restarted.recordReport(it, direct = false) }
                restarted.recordReport(report(1).copy(sequence = 9), direct = true)
                restarted.recordReport(report(2).copy(sequence = 9), direct = true)
                restarted.servers().map { it.id to it.phase } shouldBe listOf("s2" to ServerPhase.DRAINING)
            }
        }
    })
