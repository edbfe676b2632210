@file:OptIn(ExperimentalSerializationApi::class, ExperimentalCoroutinesApi::class)

package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.policy.EntryInstance
import anvilslip.policy.ServingConfiguration
import anvilslip.state.ConfigurationDocument
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaView
import anvilslip.wire.DocumentDelivery
import anvilslip.wire.PeerError
import anvilslip.wire.PeerMessage
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Entry instances that take documents from control instances, in virtual time and without sockets. */
class DocumentDeliverySpec :
    DescribeSpec({
        val cbor =
            Cbor {
                ignoreUnknownKeys = true
                encodeDefaults = false
                preferCborLabelsOverNames = true
            }

        fun sizeOf(message: PeerMessage): Long = FRAME_BYTES + cbor.encodeToByteArray(PeerMessage.serializer(), message).size

        /** A document with as many routes as that of the large deployments, about 250 bytes each. */
        fun documentOf(version: Long): ConfigurationDocument {
            val random = Random(version)

            fun name() = random.nextLong().toULong().toString(36)
            val routes =
                (1..ROUTES).joinToString(",\n    ") {
                    """{"Name": "r-${name()}", "Host": "${name()}.example", "PathPrefix": "/${name()}/", "Type": "streaming", """ +
                        """"TimeoutMs": ${random.nextInt(5, 20)}000, "TargetLatencyMs": 1000, "Priority": ${random.nextInt(3)}, """ +
                        """"Service": "${name()}", "Resumable": true, "MaxAttempts": ${random.nextInt(1, 4)}}"""
                }
            return ConfigurationDocument(version, """{"Version": $version, "Routes": [$routes]}""")
        }

        class VirtualClock(
            private val scope: TestScope,
        ) : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(scope.currentTime)

            override fun elapsed(): Duration = scope.currentTime.milliseconds
        }

        class Cluster(
            private val scope: TestScope,
            controlCount: Int = CONTROLS,
        ) {
            private val clock = VirtualClock(scope)
            val hosts = List(controlCount) { "c$it" }
            val zones = hosts.indices.associate { "c$it" to "z${it % ZONES}" }
            val views = hosts.associateWith { newView() }
            val responders =
                hosts.associateWith { host ->
                    WatchResponder(host, "x", views.getValue(host), { ReplicaView(ReplicaId(host, "x")) }, clock, zones.getValue(host))
                }
            val silent = HashSet<String>()
            var bytes = 0L
            var bytesBetweenZones = 0L

            fun newView() = ClusterView({ ServingConfiguration(1).right() }, clock, hosts.toSet(), heartbeat = 1.seconds)

            fun apply(document: ConfigurationDocument) = views.values.forEach { it.applyDocument(document) }

            fun count(
                message: PeerMessage,
                isWithinZone: Boolean,
            ) {
                val size = sizeOf(message)
                bytes += size
                if (!isWithinZone) bytesBetweenZones += size
            }

            suspend fun call(
                from: EntryInstance,
                peer: String,
                message: PeerMessage,
                timeout: Duration,
            ): Either<PeerError, PeerMessage> {
                val isWithinZone = zones[peer] == from.zone
                count(message, isWithinZone)
                val reply =
                    withTimeoutOrNull(timeout) {
                        delay(ROUND_TRIP / 2)
                        val answer = responders.getValue(peer).respond(from.host, message as PeerMessage.Watch)
                        while (peer in silent) delay(1.seconds)
                        delay(ROUND_TRIP / 2)
                        answer
                    }
                if (reply != null) count(reply, isWithinZone)
                return reply?.right() ?: PeerError.NoAnswer(peer).left()
            }
        }

        class Entry(
            private val cluster: Cluster,
            scope: TestScope,
            index: Int,
        ) : CallOnlyLinks {
            val self = EntryInstance("e$index", "e$index:80", "z${index % ZONES}", "r", ready = true)
            val view = cluster.newView()
            val watch =
                WatchService(this, view, self.host, 1, VirtualClock(scope), StandardTestDispatcher(scope.testScheduler)) { self }
            val version: Long get() = view.active.document?.version ?: -1

            override suspend fun call(
                peer: String,
                message: PeerMessage,
                timeout: Duration,
            ) = cluster.call(self, peer, message, timeout)
        }

        fun run(
            entryCount: Int = 1,
            silentAtStart: Set<String> = emptySet(),
            test: suspend TestScope.(Cluster, List<Entry>) -> Unit,
        ) = runTest {
            val cluster = Cluster(this)
            cluster.silent += silentAtStart
            cluster.apply(documentOf(1))
            val entries = List(entryCount) { Entry(cluster, this, it) }
            entries.forEach { it.watch.start() }
            try {
                test(cluster, entries)
            } finally {
                entries.forEach { it.watch.stop() }
            }
        }

        /** Returns the virtual time in milliseconds until [entry] has [version]. */
        suspend fun TestScope.timeUntil(
            entry: Entry,
            version: Long,
        ): Long {
            val start = currentTime
            while (entry.version < version && currentTime - start < MAX_WAIT_MILLIS) delay(1.milliseconds)
            return currentTime - start
        }

        describe("a change of a document with 1,400 routes") {
            // Guards against links that the changes of the configuration fill for seconds.
            it("takes less than a twentieth of the bytes of sending it whole from each control instance to each entry instance") {
                run(ENTRIES) { cluster, entries ->
                    delay(3.seconds)
                    entries.count { it.version == 1L } shouldBe ENTRIES
                    cluster.bytes = 0
                    cluster.bytesBetweenZones = 0
                    val document = documentOf(2)
                    cluster.apply(document)
                    delay(1.seconds)
                    entries.count { it.version == 2L } shouldBe ENTRIES
                    val whole = sizeOf(PeerMessage.WatchReply("x", 0, document = document)) * ENTRIES * CONTROLS
                    println(
                        "document of ${document.text.length} characters, $ENTRIES entry and $CONTROLS control instances, " +
                            "bytes within 1 s: $whole in whole documents before, ${cluster.bytes} in all messages now, ${cluster.bytesBetweenZones} between zones",
                    )
                    cluster.bytes shouldBeLessThan whole / 20
                    cluster.bytesBetweenZones shouldBeLessThan whole / 100
                }
            }

            it("is in force after one trip from the preferred control instance") {
                run { cluster, (entry) ->
                    delay(3.seconds)
                    cluster.apply(documentOf(2))
                    timeUntil(entry, 2) shouldBeLessThanOrEqual ROUND_TRIP.inWholeMilliseconds
                }
            }

            // c0 is in the zone of the entry instance, and the only one that sends it the document.
            it("is delayed by no more than 300 ms and a round trip while the preferred control instance is silent") {
                run { cluster, (entry) ->
                    delay(3.seconds)
                    cluster.silent += listOf("c0", "c3")
                    cluster.apply(documentOf(2))
                    val undelayed = ROUND_TRIP.inWholeMilliseconds / 2
                    timeUntil(entry, 2) shouldBeInRange 300..(undelayed + 300 + ROUND_TRIP.inWholeMilliseconds)
                }
            }

            it("is delayed as little when only the preferred control instance has learned of it late") {
                run { cluster, (entry) ->
                    delay(3.seconds)
                    (cluster.hosts - "c0").forEach { cluster.views.getValue(it).applyDocument(documentOf(2)) }
                    timeUntil(entry, 2) shouldBeLessThanOrEqual ROUND_TRIP.inWholeMilliseconds * 3 / 2 + 300
                }
            }

            it("is not delayed once the preferred control instance is known to be lost") {
                run { cluster, (entry) ->
                    delay(3.seconds)
                    cluster.silent += "c0"
                    delay(5.seconds)
                    cluster.apply(documentOf(2))
                    timeUntil(entry, 2) shouldBeLessThanOrEqual ROUND_TRIP.inWholeMilliseconds
                }
            }
        }

        describe("an entry instance that has just started") {
            it("takes the document from whichever control instance answers first") {
                run(silentAtStart = setOf("c0", "c1", "c2", "c3")) { _, (entry) ->
                    timeUntil(entry, 1) shouldBeLessThanOrEqual ROUND_TRIP.inWholeMilliseconds + 1
                }
            }
        }

        describe("an announced document") {
            val entry = EntryInstance("e", "e:80", "z", "r", ready = true)

            fun watch(announced: Long) =
                PeerMessage.Watch(
                    entry,
                    documentVersion = 1,
                    incarnation = "x",
                    waitMillis = 900,
                    documentDelivery = DocumentDelivery.ANNOUNCED,
                    announcedVersion = announced,
                )

            // Guards against an entry instance and a control instance that exchange the same announcement without a pause.
            it("is announced once, and is not sent") {
                runTest {
                    val cluster = Cluster(this, controlCount = 1)
                    cluster.apply(documentOf(2))
                    val first = cluster.responders.getValue("c0").respond("e", watch(announced = 1)) as PeerMessage.WatchReply
                    listOf(first.documentVersion, first.document, first.compressedDocument, currentTime) shouldBe listOf(2L, null, null, 0L)
                    cluster.responders.getValue("c0").respond("e", watch(announced = 2))
                    currentTime shouldBe 900
                }
            }

            it("is sent whole to an instance that states no delivery, as earlier versions do not") {
                runTest {
                    val cluster = Cluster(this, controlCount = 1)
                    cluster.apply(documentOf(2))
                    val reply = cluster.responders.getValue("c0").respond("e", PeerMessage.Watch(entry, 1)) as PeerMessage.WatchReply
                    reply.document shouldBe documentOf(2)
                }
            }
        }

        describe("the list of control instances") {
            it("is sent only when it has changed, and is not forgotten meanwhile") {
                run { cluster, (entry) ->
                    delay(40.seconds)
                    entry.view.controlHosts shouldBe cluster.hosts.toSet()
                    val first = cluster.responders.getValue("c0").respond("e", PeerMessage.Watch(entry.self)) as PeerMessage.WatchReply
                    first.controlHosts shouldBe setOf("c0")
                    val known = PeerMessage.Watch(entry.self, incarnation = "x", controlRevision = first.controlRevision)
                    (cluster.responders.getValue("c0").respond("e", known) as PeerMessage.WatchReply).controlHosts shouldBe emptySet()
                    cluster.responders.getValue("c0").respond("c9", PeerMessage.Watch())
                    (cluster.responders.getValue("c0").respond("e", known) as PeerMessage.WatchReply).controlHosts shouldBe
                        setOf("c0", "c9")
                }
            }
        }
    }) {
    private companion object {
        const val ENTRIES = 68
        const val CONTROLS = 5
        const val ZONES = 3
        const val ROUTES = 1_400
        const val MAX_WAIT_MILLIS = 5_000L
        val ROUND_TRIP = 10.milliseconds

        /** Length, call ID and stamp of a frame. */
        const val FRAME_BYTES = 30L
    }
}
