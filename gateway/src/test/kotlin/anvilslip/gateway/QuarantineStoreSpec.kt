package anvilslip.gateway

import anvilslip.kernel.ManualClock
import anvilslip.state.Command
import anvilslip.state.ReplicatedState
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that crash servers being sent again after all processes were killed. */
class QuarantineStoreSpec :
    DescribeSpec({
        /** Replicated state that outlives the processes, and the commands that were applied to it. */
        class Cluster {
            var state = ReplicatedState()
            val commands = mutableListOf<Command>()
            var isCommitting = true
            var failure: Throwable? = null

            fun commit(command: Command): Boolean {
                failure?.let {
                    failure = null
                    throw it
                }
                if (!isCommitting) return false
                commands += command
                state = state.apply(command, 0).state
                return true
            }
        }

        /** A control instance with suspects of its own. */
        class Control(
            private val cluster: Cluster,
            var isLeading: Boolean = true,
        ) {
            val clock = ManualClock()
            val suspects = SuspectRegistry(clock) {}
            val store = QuarantineStore(suspects, { isLeading }, { cluster.state }, { cluster.commit(it) })

            fun crash(
                key: String,
                vararg servers: String,
            ) = servers.forEach { suspects.recordCrash(listOf(key), it) }

            fun isQuarantined(key: String) = suspects.quarantinedKey(listOf(key)) != null
        }

        describe("a quarantine") {
            it("is known to a control instance that starts after all of them were killed") {
                val cluster = Cluster()
                Control(cluster).apply {
                    crash("r", "a", "b", "c")
                    store.store()
                }
                val restarted = Control(cluster, isLeading = false)
                restarted.isQuarantined("r") shouldBe false
                restarted.store.restore(cluster.state)
                restarted.isQuarantined("r") shouldBe true
            }

            it("is stored once") {
                val cluster = Cluster()
                val control = Control(cluster).apply { crash("r", "a", "b", "c") }
                repeat(3) { control.store.store() }
                cluster.commands shouldContainExactly listOf(Command.UpdateQuarantines(mapOf("r" to setOf("a", "b", "c")), emptySet()))
            }

            it("is stored by the leader alone, and again if that fails") {
                val cluster = Cluster().apply { isCommitting = false }
                val control = Control(cluster, isLeading = false).apply { crash("r", "a", "b", "c") }
                control.store.store()
                control.isLeading = true
                control.store.store()
                cluster.commands.shouldBeEmpty()
                cluster.isCommitting = true
                control.store.store()
                cluster.commands.size shouldBe 1
            }

            it("is stored although an error occurred while another one was stored") {
                val cluster = Cluster().apply { failure = AssertionError("unexpected") }
                val control = Control(cluster).apply { crash("r", "a", "b", "c") }
                control.store.start()
                val stored =
                    withTimeoutOrNull(5.seconds) {
                        while (cluster.state.quarantines.isEmpty()) delay(10.milliseconds)
                    }
                stored shouldNotBe null
                control.store.stop()
            }

            it("is kept by a leader that did not know it") {
                val cluster = Cluster()
                Control(cluster).apply {
                    crash("r", "a", "b", "c")
                    store.store()
                }
                Control(cluster).store.store()
                cluster.state.quarantines.keys shouldBe setOf("r")
            }

            it("is removed once such a request is served") {
                val cluster = Cluster()
                val control = Control(cluster).apply { crash("r", "a", "b", "c") }
                control.store.store()
                control.suspects.recordServed(listOf("r"))
                control.store.store()
                cluster.state.quarantines.keys
                    .shouldBeEmpty()
                control.store.restore(cluster.state)
                control.isQuarantined("r") shouldBe false
            }

            it("is removed once no such request was seen for a while") {
                val cluster = Cluster()
                val control = Control(cluster).apply { crash("r", "a", "b", "c") }
                control.store.store()
                control.store.restore(cluster.state)
                control.clock.advance(11.minutes)
                control.crash("other", "d")
                control.store.store()
                cluster.state.quarantines.keys
                    .shouldBeEmpty()
            }
        }

        describe("requests with fewer crashes") {
            it("are not stored") {
                val cluster = Cluster()
                val control = Control(cluster).apply { crash("r", "a", "b") }
                control.store.store()
                cluster.commands.shouldBeEmpty()
            }
        }
    })
