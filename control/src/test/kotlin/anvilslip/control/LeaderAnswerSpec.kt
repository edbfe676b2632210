package anvilslip.control

import anvilslip.kernel.Clock
import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import anvilslip.kernel.Timeline
import anvilslip.policy.InstanceView
import anvilslip.policy.PlacementOptions
import anvilslip.state.Change
import anvilslip.state.Command
import anvilslip.state.FileStorage
import anvilslip.state.InterruptedRequest
import anvilslip.state.Outcome
import anvilslip.state.Replica
import anvilslip.state.ReplicaOutput
import anvilslip.state.Storage
import anvilslip.state.Workspace
import anvilslip.wire.PeerMessage
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against answers of a leader whose replica restarts from its storage meanwhile: an instance would take an empty state for the
 * newest one, send quarantined requests again, and count as up to date.
 */
class LeaderAnswerSpec :
    DescribeSpec({
        /** Storage that refuses every write while [isFailing]. */
        class FailingStorage(
            private val storage: Storage,
        ) : Storage by storage {
            @Volatile
            var isFailing = false

            override fun store(output: ReplicaOutput) {
                check(!isFailing) { "no space left" }
                storage.store(output)
            }
        }

        /** Clock that calls [interrupt] once, when the leader reads it while it handles a poll. */
        class InterruptingClock : Clock by SystemClock {
            var interrupt: (() -> Unit)? = null

            override fun elapsed(): Duration {
                if (Throwable().stackTrace.any { it.methodName == "onPoll" }) interrupt?.also { interrupt = null }?.invoke()
                return SystemClock.elapsed()
            }
        }

        describe("the answer to a poll during which the storage of the leader fails") {
            it("contains the state that the leader had when the poll arrived") {
                val storage = FailingStorage(FileStorage(tempdir().toPath()))
                val replica = Replica("a", setOf("a"), storage, { _, _ -> }, SystemClock)
                val clock = InterruptingClock()
                val leader = LeaderService(replica, AcceptingLoader, PlacementOptions(), clock, Timeline("a", HybridClock(SystemClock)))
                replica.start()
                try {
                    val change = Command.Configure(Change.PutWorkspace(Workspace("w", 1.0, 10)), "id")
                    withTimeout(10.seconds) {
                        while (replica.propose(change) != Outcome.Configured(1).right()) delay(20.milliseconds)
                    }
                    replica.propose(Command.RecordCrash("s@1", listOf(InterruptedRequest("f", "w", "a"))))
                    clock.interrupt = {
                        storage.isFailing = true
                        CoroutineScope(Dispatchers.IO).launch { replica.propose(Command.ReadBarrier) }
                        while (replica.view.state.configuration.revision != 0L) Thread.sleep(1)
                    }
                    val poll = PeerMessage.Poll(InstanceView("e", "z", "e:80"), "i", 0, 0, 0, 0)
                    val reply = leader.handle(poll) as PeerMessage.PollReply
                    reply.revision shouldBe 1
                    reply.suspects?.map { it.fingerprint } shouldBe listOf("f")
                } finally {
                    replica.stop()
                }
            }
        }
    })
