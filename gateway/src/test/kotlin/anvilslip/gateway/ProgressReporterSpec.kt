package anvilslip.gateway

import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import anvilslip.policy.RequestStep
import anvilslip.policy.RunningRequest
import anvilslip.policy.ServingConfiguration
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerHandler
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ProgressReporterSpec :
    DescribeSpec({
        describe("the report of progress") {
            // Guards against a leader that takes requests to be running which have ended, because nobody reports it any more.
            it("goes on after an error") {
                val received = CopyOnWriteArrayList<PeerMessage.Progress>()
                val network =
                    PeerNetwork("e", PeerAddress("127.0.0.1", 0), emptyMap(), ByteArray(1), SystemClock, HybridClock(SystemClock))
                network.handler =
                    PeerHandler { _, message ->
                        if (message is PeerMessage.Progress) received += message
                        PeerMessage.Ack
                    }
                val clusterView = ClusterView({ ServingConfiguration(1).right() }, SystemClock, emptySet(), 1.seconds)
                clusterView.observeLeader("e", 1)
                val reporter = ProgressReporter("e", network, clusterView)
                reporter.start()
                var failure: Throwable? = AssertionError("unexpected")
                reporter.recordSent(1) {
                    failure?.let { e ->
                        failure = null
                        throw e
                    }
                    RunningRequest(1, "s", null, null, 0, 1_000)
                }
                withTimeoutOrNull(5.seconds) {
                    while (received.none { it.running.isNotEmpty() && it.events.isNotEmpty() }) {
                        reporter.recordStep(2, RequestStep.ENDED)
                        delay(20.milliseconds)
                    }
                } shouldNotBe null
                reporter.stop()
                network.stop()
            }
        }
    })
