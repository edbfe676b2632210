package anvilslip.control

import anvilslip.kernel.Clock
import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import anvilslip.kernel.Timeline
import anvilslip.policy.InstanceView
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerHandler
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ControlServiceSpec :
    DescribeSpec({
        /** Clock that fails the first time that a poll reads it. */
        class FailingClock : Clock by SystemClock {
            private val failure = AtomicReference<Throwable>(AssertionError("unexpected"))

            override fun elapsed(): Duration {
                val isPoll = Throwable().stackTrace.any { it.className == ControlService::class.java.name && it.methodName == "poll" }
                if (isPoll) failure.getAndSet(null)?.let { throw it }
                return SystemClock.elapsed()
            }
        }

        describe("the poll of the leader") {
            // Guards against an instance that refuses every request with a key, because nobody confirms its configuration any more.
            it("goes on after an error") {
                val hybridClock = HybridClock(SystemClock)
                val network = PeerNetwork("a", PeerAddress("127.0.0.1", 0), emptyMap(), ByteArray(1), SystemClock, hybridClock)
                network.handler = PeerHandler { _, _ -> PeerMessage.PollReply(term = 1, revision = 0) }
                val control =
                    ControlService(
                        self = InstanceView("a", "z", "a:80"),
                        incarnation = "x",
                        leaderClient = LeaderClient(network, setOf("a"), SystemClock),
                        clock = FailingClock(),
                        timeline = Timeline("a", hybridClock),
                        pollInterval = 20.milliseconds,
                        maxStaleness = 5.seconds,
                    )
                control.start()
                withTimeoutOrNull(5.seconds) {
                    while (!control.isFresh) delay(10.milliseconds)
                } shouldNotBe null
                control.stop()
                network.stop()
            }
        }
    })
