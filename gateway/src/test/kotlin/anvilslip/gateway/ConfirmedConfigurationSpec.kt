package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpHandler
import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import anvilslip.policy.EntryInstance
import anvilslip.policy.ServingConfiguration
import anvilslip.settings.Address
import anvilslip.settings.GatewaySettings
import anvilslip.state.Command
import anvilslip.state.ConfigurationDocument
import anvilslip.state.FileStorage
import anvilslip.state.LogEntry
import anvilslip.state.Payload
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaOutput
import anvilslip.state.ReplicatedState
import anvilslip.state.Snapshot
import anvilslip.state.Vote
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an entry instance that becomes ready with an older configuration: a control instance that has just started knows the
 * state of its last snapshot, while the newest document is an entry of its log that it does not know to be committed.
 */
class ConfirmedConfigurationSpec :
    DescribeSpec({
        val controlHost = "127.0.0.1"
        val entryHost = "127.0.0.9"

        class Dialects : GatewayDialects {
            override val documents = DocumentDialect { ServingConfiguration(1).right() }
            override val requests = TestDialect
            override val samples = TestSamples

            override fun engineClient(
                client: HttpClient,
                holder: String,
            ): EngineClient = ScriptedEngineClient()

            override fun control(operations: ControlOperations) = HttpHandler { _, _ -> }

            override fun directory(
                operations: ControlOperations,
                lifetime: Duration,
            ) = HttpHandler { _, _ -> }

            override fun readiness(isReady: () -> Boolean) = HttpHandler { _, _ -> }
        }

        fun freePort() = ServerSocket(0).use { it.localPort }

        /** Stores a snapshot with version 5 and a log with version 9 behind it; [others] are voters that never start. */
        fun storeState(
            folder: Path,
            others: List<String>,
        ) = FileStorage(folder).use { storage ->
            val self = ReplicaId(controlHost, storage.recover().identity)
            val voters = (others.map { ReplicaId(it, "x") } + self).toSet()

            fun replace(version: Long) = Command.ReplaceDocument(ConfigurationDocument(version, "text $version"))
            val evacuation = Command.SetEvacuation("z", isActive = true)
            val state = listOf(replace(5), evacuation).fold(ReplicatedState()) { state, command -> state.apply(command, 0).state }
            storage.compact(Snapshot(64, 3, voters, state), listOf(LogEntry(65, 3, Payload.Apply(replace(9), 0))))
            storage.store(ReplicaOutput(vote = Vote(3)))
        }

        fun network(
            host: String,
            port: Int,
        ) = PeerNetwork(
            self = host,
            listen = PeerAddress(host, port),
            peers = emptyMap(),
            secret = "anvilslip".toByteArray(),
            clock = SystemClock,
            hybridClock = HybridClock(SystemClock),
            acceptsPeer = { true },
        )

        /** Restarts a control instance among [others] and asks it for [time] as an entry instance without a configuration does. */
        suspend fun answersAfterRestart(
            others: List<String>,
            time: Duration,
        ): List<PeerMessage.WatchReply> {
            val folder = tempdir().toPath()
            storeState(folder, others)
            val port = freePort()
            val settings =
                GatewaySettings(
                    instance = "c",
                    host = controlHost,
                    zone = "z",
                    region = "r",
                    peerPort = port,
                    metricsPort = freePort(),
                    seeds = setOf(controlHost) + others,
                    control = Address(controlHost, freePort()),
                    dataFolder = folder,
                )
            val gateway = Gateway(settings, Dialects())
            val entry = network(entryHost, port)
            gateway.start()
            entry.start()
            try {
                entry.connectTo(controlHost, PeerAddress(controlHost, port))
                val watch = PeerMessage.Watch(EntryInstance(entryHost, "e:80", "z", "r", ready = false))
                val end = SystemClock.elapsed() + time
                val answers = ArrayList<PeerMessage.WatchReply>()
                while (SystemClock.elapsed() < end) {
                    (entry.call(controlHost, watch, 1.seconds).getOrNull() as? PeerMessage.WatchReply)?.let { answers += it }
                    delay(5.milliseconds)
                }
                return answers
            } finally {
                entry.stop()
                gateway.stop()
            }
        }

        describe("a control instance that has restarted and has heard of no leader") {
            it("hands out neither the document nor the evacuations of its last snapshot") {
                val answers = answersAfterRestart(others = listOf("127.0.0.2", "127.0.0.3"), time = 2.seconds)
                answers.isEmpty() shouldBe false
                answers.mapNotNull { it.document?.version }.toSet() shouldBe emptySet()
                answers.mapNotNull { it.evacuations }.toSet() shouldBe emptySet()
            }
        }

        describe("a control instance that leads after its restart") {
            it("hands out the newest document, and no older one before") {
                val answers = answersAfterRestart(others = emptyList(), time = 5.seconds)
                answers.mapNotNull { it.document?.version }.toSet() shouldBe setOf(9L)
                answers.last().evacuations shouldBe setOf("z")
            }
        }
    })
