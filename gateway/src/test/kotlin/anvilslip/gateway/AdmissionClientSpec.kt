package anvilslip.gateway

import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRequest
import anvilslip.policy.ServingConfiguration
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionClientSpec :
    DescribeSpec({
        val clock = TestClock(10.seconds)
        val request = DispatchRequest("e", 7, "app", null, 0, "z1", targetMillis = 1000, remainingMillis = 5000)
        val send = DispatchDecision.Send("a", "a:80")

        /** An entry instance that knows no server, so that its own decisions are refusals. */
        fun client(
            withdrawn: MutableList<Long>,
            answer: Either<PeerError, PeerMessage>,
        ): AdmissionClient {
            val view = ClusterView({ ServingConfiguration(1).right() }, clock, emptySet(), heartbeat = 1.seconds)
            view.observeLeader("c", 3)
            return AdmissionClient({ _, _, _ -> answer }, view, LocalDispatch(view) { 0 }, clock, withdrawn::add)
        }

        describe("a request that was refused because the leader did not answer in time") {
            it("is withdrawn, since the leader may have admitted it meanwhile") {
                val withdrawn = ArrayList<Long>()
                val result = client(withdrawn, PeerError.NoAnswer("c").left()).admit(request)
                result.decision.shouldBeInstanceOf<DispatchDecision.Refuse>()
                withdrawn shouldContainExactly listOf(7L)
            }

            it("is not withdrawn if the leader was not asked") {
                val withdrawn = ArrayList<Long>()
                val client = client(withdrawn, PeerError.NoAnswer("c").left())
                client.admit(request)
                client.admit(request.copy(number = 8))
                withdrawn shouldContainExactly listOf(7L)
            }
        }

        describe("a request that waits at the leader") {
            /** Clients of a leader that gives [answers] in turn, and records the requests that it is asked about in [asked]. */
            fun clientOf(
                answers: ArrayDeque<DispatchDecision>,
                asked: MutableList<DispatchRequest>,
                withdrawn: MutableList<Long>,
            ): AdmissionClient {
                val view = ClusterView({ ServingConfiguration(1).right() }, clock, emptySet(), heartbeat = 1.seconds)
                view.observeLeader("c", 3)
                val peers =
                    PeerCaller { _, message, _ ->
                        asked += (message as PeerMessage.Admit).demand
                        clock.time += 300.milliseconds
                        val answer = answers.removeFirstOrNull() ?: awaitCancellation()
                        PeerMessage.AdmitReply(3, answer).right()
                    }
                return AdmissionClient(peers, view, LocalDispatch(view) { 0 }, clock, withdrawn::add)
            }

            it("is asked for again with the same number and what remains of its time") {
                val asked = ArrayList<DispatchRequest>()
                val answers = ArrayDeque(listOf(DispatchDecision.Wait, DispatchDecision.Wait, send))
                clientOf(answers, asked, ArrayList()).admit(request).decision shouldBe send
                asked.map { it.number }.distinct() shouldContainExactly listOf(7L)
                asked.map { it.remainingMillis } shouldContainExactly listOf(5000L, 4700L, 4400L)
            }

            it("is withdrawn if its client leaves") {
                val withdrawn = ArrayList<Long>()
                val client = clientOf(ArrayDeque(listOf(DispatchDecision.Wait)), ArrayList(), withdrawn)
                withTimeoutOrNull(100.milliseconds) { client.admit(request) } shouldBe null
                withdrawn shouldContainExactly listOf(7L)
            }
        }

        // Guards against instances that decide on their own, and refuse what has to be loaded, because one request waits long at the leader.
        describe("a request that the leader does not answer in time") {
            it("does not keep others from a leader that has answered meanwhile") {
                val view = ClusterView({ ServingConfiguration(1).right() }, clock, emptySet(), heartbeat = 1.seconds)
                view.observeLeader("c", 3)
                lateinit var client: AdmissionClient
                val peers =
                    PeerCaller { _, message, timeout ->
                        if ((message as PeerMessage.Admit).demand.number == 7L) {
                            client.admit(request.copy(number = 8)).decision shouldBe send
                            clock.time += timeout
                            PeerError.NoAnswer("c").left()
                        } else {
                            clock.time += 10.milliseconds
                            PeerMessage.AdmitReply(3, send).right()
                        }
                    }
                client = AdmissionClient(peers, view, LocalDispatch(view) { 0 }, clock, {})
                client.admit(request).term shouldBe null
                client.admit(request.copy(number = 9)).decision shouldBe send
            }
        }

        describe("a request that the leader admitted") {
            it("is not withdrawn") {
                val withdrawn = ArrayList<Long>()
                client(
                    withdrawn,
                    PeerMessage.AdmitReply(3, send).right(),
                ).admit(request).decision.shouldBeInstanceOf<DispatchDecision.Send>()
                withdrawn.shouldBeEmpty()
            }
        }
    })
