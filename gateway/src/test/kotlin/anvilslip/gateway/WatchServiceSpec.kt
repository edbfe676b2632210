package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import anvilslip.policy.EntryInstance
import anvilslip.policy.ServingConfiguration
import anvilslip.policy.SuspectReport
import anvilslip.state.ConfigurationDocument
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerHandler
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against entry instances that run on without the loops through which they learn of changes and report them. */
class WatchServiceSpec :
    DescribeSpec({
        val controlHost = "127.0.0.1"
        val entryHost = "127.0.0.2"

        /** Clock that fails once when [method] reads it. */
        class FailingClock(
            private val method: String,
        ) : Clock by SystemClock {
            private val failure = AtomicReference<Throwable>(AssertionError("unexpected"))

            override fun elapsed(): Duration {
                if (Throwable().stackTrace.any { it.methodName == method }) failure.getAndSet(null)?.let { throw it }
                return SystemClock.elapsed()
            }
        }

        /** A control instance that hands out version 1 of a document, and an entry instance that watches it. */
        class Watched(
            dialect: DocumentDialect = DocumentDialect { ServingConfiguration(1).right() },
            clock: Clock = SystemClock,
        ) {
            val received = CopyOnWriteArrayList<PeerMessage>()
            val clusterView = ClusterView(dialect, clock, setOf(controlHost), 1.seconds)
            private val port = ServerSocket(0).use { it.localPort }
            private val control = network(controlHost)
            private val entry = network(entryHost)
            private val watch =
                WatchService(entry, clusterView, entryHost, port, SystemClock, needsEntryHosts = true) {
                    EntryInstance(entryHost, "e:80", "z", "r", ready = true)
                }

            private fun network(host: String) =
                PeerNetwork(
                    self = host,
                    listen = PeerAddress(host, port),
                    peers = emptyMap(),
                    secret = "secret".toByteArray(),
                    clock = SystemClock,
                    hybridClock = HybridClock(SystemClock),
                    acceptsPeer = { true },
                )

            private suspend fun answer(message: PeerMessage): PeerMessage {
                received += message
                if (message !is PeerMessage.Watch) return PeerMessage.Ack
                delay(minOf(message.waitMillis, 50).milliseconds)
                val document = ConfigurationDocument(1, "text").takeIf { it.version > message.documentVersion }
                val quarantine = SuspectReport("quarantined", setOf("a@1", "b@1", "c@1"))
                val hosts = listOf(entryHost).takeIf { it.hashCode() != message.entryHostsHash }
                return PeerMessage.WatchReply(
                    incarnation = "x",
                    fleetRevision = 0,
                    document = document,
                    controlHosts = setOf(controlHost),
                    suspects = listOf(quarantine),
                    evacuations = setOf("z").takeIf { message.evacuationRevision < 1 },
                    evacuationRevision = 1,
                    entryHosts = hosts,
                )
            }

            suspend fun run(action: suspend Watched.() -> Unit) {
                control.handler = PeerHandler { _, message -> answer(message) }
                control.start()
                entry.start()
                watch.start()
                try {
                    action()
                } finally {
                    watch.stop()
                    entry.stop()
                    control.stop()
                }
            }
        }

        suspend fun becomesTrue(condition: () -> Boolean): Boolean =
            withTimeoutOrNull(5.seconds) {
                while (!condition()) delay(10.milliseconds)
            } != null

        describe("the poll of a control instance") {
            it("goes on after an error in a reply") {
                var failure: Throwable? = AssertionError("unexpected")
                val dialect =
                    DocumentDialect {
                        failure?.let { e ->
                            failure = null
                            throw e
                        }
                        ServingConfiguration(1).right()
                    }
                Watched(dialect).run {
                    becomesTrue { clusterView.active.document != null } shouldBe true
                }
            }
        }

        describe("an instance that has just started") {
            // Guards against requests that crash servers being sent by an instance that is ready but was not told of them yet.
            it("knows the quarantines before the configuration, with which it becomes ready") {
                var knownBefore: String? = null
                lateinit var watched: Watched
                watched =
                    Watched(
                        dialect = {
                            knownBefore = watched.clusterView.suspects.quarantinedKey(listOf("quarantined"))
                            ServingConfiguration(1).right()
                        },
                    )
                watched.run { becomesTrue { clusterView.active.document != null } shouldBe true }
                knownBefore shouldBe "quarantined"
            }

            // Guards against requests that an instance sends to a zone under evacuation because it was ready before it knew.
            it("knows the evacuations before the configuration, and asks for later ones only") {
                var zonesBefore: Set<String>? = null
                lateinit var watched: Watched
                watched =
                    Watched(
                        dialect = {
                            zonesBefore = watched.clusterView.evacuations.zones
                            ServingConfiguration(1).right()
                        },
                    )
                watched.run {
                    becomesTrue { clusterView.active.document != null } shouldBe true
                    becomesTrue { received.any { it is PeerMessage.Watch && it.evacuationRevision == 1L } } shouldBe true
                }
                zonesBefore shouldBe setOf("z")
            }
        }

        describe("an instance that needs the hosts of the others") {
            // Guards against delegates that are unknown, and against hosts that are sent with every answer.
            it("learns them once and tells the control instance which it knows") {
                Watched().run {
                    val known = listOf(entryHost).hashCode()
                    becomesTrue { received.any { it is PeerMessage.Watch && it.entryHostsHash == known } } shouldBe true
                    clusterView.entryHosts shouldBe setOf(entryHost)
                }
            }
        }

        describe("the report of suspects") {
            it("goes on after an error") {
                Watched(clock = FailingClock("reportSuspects")).run {
                    becomesTrue { received.any { it is PeerMessage.Watch } } shouldBe true
                    clusterView.suspects.recordCrash(listOf("r"), "s@1")
                    becomesTrue {
                        received.any {
                            it is PeerMessage.SuspectUpdate &&
                                it.reports.any { report ->
                                    report.key == "r"
                                }
                        }
                    } shouldBe
                        true
                }
            }
        }
    })
