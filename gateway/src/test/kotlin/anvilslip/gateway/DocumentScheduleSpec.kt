package anvilslip.gateway

import anvilslip.policy.EntryInstance
import anvilslip.policy.ServingConfiguration
import anvilslip.state.ConfigurationDocument
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaView
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an acknowledged document that an entry instance learns of too late while up to two of five control instances freeze,
 * restart, are cut off from the log, or are cut in one direction from the entry instance. In virtual time.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class DocumentScheduleSpec :
    DescribeSpec({
        class Run(
            private val seed: Long,
            private val scope: TestScope,
        ) : CallOnlyLinks {
            inner class Control(
                index: Int,
            ) {
                val host = "c$index"
                val zone = "z${index % ZONES}"
                var generation = 0
                var view = newView()
                var responder = newResponder()
                var isFrozen = false
                var hasLog = true
                var losesRequests = false
                var losesReplies = false

                private fun newResponder() =
                    WatchResponder(host, "$host-$generation", view, { ReplicaView(ReplicaId(host, "x")) }, clock, zone)

                fun restart() {
                    generation++
                    view = newView()
                    responder = newResponder()
                }

                fun catchUp() {
                    if (hasLog && !isFrozen && latest > 0) view.applyDocument(ConfigurationDocument(latest, "text"))
                }
            }

            private val random = Random(seed)
            private val clock = SchedulerClock(scope.testScheduler)
            private var latest = 0L
            private val controls = List(CONTROLS) { Control(it) }
            private val link = Mutex()
            private val transferTime = TRANSFER_TIMES[random.nextInt(TRANSFER_TIMES.size)]
            private val self = EntryInstance("e", "e:80", "z0", "r", ready = true)
            private val entryView = newView()
            private val watch =
                WatchService(this, entryView, "e", 1, clock, StandardTestDispatcher(scope.testScheduler)) { self }
            val events = ArrayList<String>()
            val late = ArrayList<String>()
            var maxDelay = 0L
            var checked = 0

            private fun newView() =
                ClusterView({ ServingConfiguration(1).right() }, clock, List(CONTROLS) { "c$it" }.toSet(), heartbeat = 1.seconds)

            private val version: Long get() = entryView.active.document?.version ?: -1

            private fun record(event: String) {
                events += "${scope.currentTime} $event"
            }

            suspend fun run() {
                acknowledge()
                watch.start()
                delay(CONTACT)
                val faults = scope.launch { while (true) injectFaults(controls.shuffled(random).take(MAX_FAULTY)) }
                repeat(CHANGES) {
                    // Half of the changes come in quick succession.
                    delay(if (random.nextBoolean()) random.nextLong(1, 60) else random.nextLong(100, 2500))
                    acknowledge()
                }
                delay(APPLY_BOUND * 2)
                faults.cancel()
                watch.stop()
            }

            /** The leader applies a document at once, the others when they next hear from the leader. */
            private fun acknowledge() {
                val acknowledged = ++latest
                val at = scope.currentTime
                for (control in controls) {
                    scope.launch {
                        delay(random.nextLong(0, HEARTBEAT_MILLIS))
                        control.catchUp()
                    }
                }
                scope.launch {
                    while (version < acknowledged && scope.currentTime - at < MAX_WAIT_MILLIS) delay(5)
                    val took = scope.currentTime - at
                    checked++
                    maxDelay = maxOf(maxDelay, took)
                    if (took > APPLY_BOUND.inWholeMilliseconds) late += "version $acknowledged of $at took $took ms"
                }
            }

            private suspend fun injectFaults(faulty: List<Control>) {
                repeat(FAULTS_IN_SERIES) {
                    val control = faulty.random(random)
                    val time = random.nextLong(50, 4000)
                    when (random.nextInt(5)) {
                        0 -> {
                            fault(control, "frozen", time) { control.isFrozen = it }
                        }

                        1 -> {
                            fault(control, "cut off from the log", time) { control.hasLog = !it }
                        }

                        2 -> {
                            fault(control, "losing requests", time) { control.losesRequests = it }
                        }

                        3 -> {
                            fault(control, "losing replies", time) { control.losesReplies = it }
                        }

                        else -> {
                            fault(control, "restarting", time / 2) {
                                if (it) {
                                    control.restart().also { control.hasLog = false }
                                } else {
                                    control.hasLog =
                                        true
                                }
                            }
                        }
                    }
                    delay(random.nextLong(10, 1500))
                }
                // All faults have ended before others begin, so that a majority has had no fault for the time in contact.
                delay(CONTACT * 2)
            }

            private fun fault(
                control: Control,
                name: String,
                millis: Long,
                set: (Boolean) -> Unit,
            ) {
                record("${control.host} $name for $millis ms")
                set(true)
                scope.launch {
                    delay(millis)
                    set(false)
                    delay(random.nextLong(0, HEARTBEAT_MILLIS))
                    control.catchUp()
                }
            }

            override suspend fun call(
                peer: String,
                message: PeerMessage,
                timeout: Duration,
            ): Either<PeerError, PeerMessage> =
                withTimeoutOrNull(timeout) { exchange(controls.first { it.host == peer }, message as PeerMessage.Watch) }?.right()
                    ?: PeerError.NoAnswer(peer).left()

            /** Returns the answer of [control]; null if its process ended before it had answered. */
            private suspend fun exchange(
                control: Control,
                message: PeerMessage.Watch,
            ): PeerMessage? {
                delay(random.nextLong(1, 10))
                if (control.losesRequests) awaitCancellation()
                val generation = control.generation
                while (control.isFrozen) delay(10)
                val answer = control.responder.respond("e", message)
                while (control.isFrozen) delay(10)
                if (control.generation != generation) return null
                if (control.losesReplies) awaitCancellation()
                if ((answer as PeerMessage.WatchReply).compressedDocument != null) link.withLock { delay(transferTime) }
                delay(random.nextLong(1, 10))
                return answer
            }
        }

        describe("documents that are acknowledged while up to two of five control instances fail") {
            it("are in force within the time to apply on an entry instance that reaches the majority") {
                var maxDelay = 0L
                var checked = 0
                val failures = ArrayList<String>()
                for (seed in 1L..SEEDS) {
                    runTest {
                        val run = Run(seed, this)
                        run.run()
                        maxDelay = maxOf(maxDelay, run.maxDelay)
                        checked += run.checked
                        if (run.late.isNotEmpty()) failures += "seed $seed: ${run.late} after ${run.events}"
                    }
                }
                println("$checked documents of $SEEDS seeds, in force after at most $maxDelay ms")
                checked shouldBeGreaterThan CHANGES
                failures shouldBe emptyList()
            }
        }
    }) {
    private companion object {
        const val SEEDS = 200L
        const val CONTROLS = 5
        const val ZONES = 3
        const val MAX_FAULTY = 2
        const val FAULTS_IN_SERIES = 6
        const val CHANGES = 60
        const val HEARTBEAT_MILLIS = 150L
        const val MAX_WAIT_MILLIS = 20_000L

        /** Time in contact with a majority from which the bound applies. */
        val CONTACT = 4.seconds

        /** Time within which an acknowledged document is in force on the small deployments, the shorter of the stated ones. */
        val APPLY_BOUND = 2.seconds

        /** Times that a compressed document of 340 KB and one of 1.1 MB need on a link of 7 Mbit/s, and a fast link. */
        val TRANSFER_TIMES = listOf(1.milliseconds, 75.milliseconds, 240.milliseconds)
    }
}
