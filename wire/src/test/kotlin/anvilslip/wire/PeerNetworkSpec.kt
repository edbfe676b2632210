package anvilslip.wire

import anvilslip.kernel.Clock
import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import io.ktor.network.sockets.ServerSocket as ListeningSocket
import io.ktor.network.sockets.Socket as PeerSocket

private const val RACES = 3000

class PeerNetworkSpec :
    DescribeSpec({
        fun freePort() = ServerSocket(0).use { it.localPort }

        fun network(
            self: String,
            port: Int,
            peers: Map<String, Int>,
            secret: String = "the shared secret",
            clock: Clock = SystemClock,
        ) = PeerNetwork(
            self = self,
            listen = PeerAddress("127.0.0.1", port),
            peers = peers.mapValues { PeerAddress("127.0.0.1", it.value) },
            secret = secret.toByteArray(),
            clock = clock,
            hybridClock = HybridClock(SystemClock),
        )

        suspend fun awaitConnected(
            network: PeerNetwork,
            peer: String,
        ) = withTimeoutOrNull(5.seconds) {
            while (peer !in network.connectedPeers) delay(10.milliseconds)
        } != null

        describe("two instances with the same secret") {
            it("answer each other's calls") {
                val ports = listOf(freePort(), freePort())
                val a = network("a", ports[0], mapOf("b" to ports[1]))
                val b = network("b", ports[1], mapOf("a" to ports[0]))
                b.handler = PeerHandler { from, _ -> PeerMessage.Failed("hello $from") }
                a.start()
                b.start()
                awaitConnected(a, "b") shouldBe true
                a.call("b", PeerMessage.StatusRequest).getOrNull() shouldBe PeerMessage.Failed("hello a")
                a.stop()
                b.stop()
            }
        }

        describe("a peer that is forgotten and connected to again at once, from two threads") {
            // Guards against a link without the job that connects it, so that the peer is never reached again.
            it("can be reached afterwards") {
                val ports = listOf(freePort(), freePort())
                val a = network("a", ports[0], mapOf("b" to ports[1]))
                val b = network("b", ports[1], mapOf("a" to ports[0]))
                a.start()
                b.start()
                repeat(RACES) {
                    coroutineScope {
                        launch(Dispatchers.Default) { a.disconnect("b") }
                        launch(Dispatchers.Default) { a.connectTo("b", PeerAddress("127.0.0.1", ports[1])) }
                    }
                    a.connectTo("b", PeerAddress("127.0.0.1", ports[1]))
                    a.abandonedPeers shouldBe emptySet()
                }
                awaitConnected(a, "b") shouldBe true
                a.stop()
                b.stop()
            }
        }

        describe("an instance that does not admit a peer yet") {
            it("serves another peer at once, and that one when it is admitted") {
                val ports = List(3) { freePort() }
                val isAdmitted = CompletableDeferred<Unit>()
                val names = mapOf("a" to ports[0], "b" to ports[1], "c" to ports[2])
                val a = network("a", ports[0], names - "a" - "c")
                val c = network("c", ports[2], names - "a" - "c")
                val b = network("b", ports[1], names - "b")
                b.admission = PeerAdmission { if (it == "a") isAdmitted.await() }
                val networks = listOf(a, b, c)
                networks.forEach { it.start() }
                awaitConnected(c, "b") shouldBe true
                ("b" in a.connectedPeers) shouldBe false
                isAdmitted.complete(Unit)
                awaitConnected(a, "b") shouldBe true
                networks.forEach { it.stop() }
            }
        }

        describe("an instance whose listening socket fails") {
            /** Listening socket whose first attempt to accept a connection fails, as it does when no file descriptor is left. */
            class FailingServerSocket(
                private val socket: ListeningSocket,
                private val failure: Throwable,
            ) : ListeningSocket by socket {
                private var hasFailed = false

                override suspend fun accept(): PeerSocket {
                    if (hasFailed) return socket.accept()
                    hasFailed = true
                    throw failure
                }
            }

            // Guards against an instance that runs on but that no other instance can connect to any more.
            for (failure in listOf(IOException("Too many open files"), AssertionError("unexpected"))) {
                it("accepts connections again after ${failure::class.simpleName}") {
                    val ports = listOf(freePort(), freePort())
                    val a = network("a", ports[0], mapOf("b" to ports[1]))
                    val b = network("b", ports[1], mapOf("a" to ports[0]))
                    val bindSocket = b.bind
                    b.bind = { FailingServerSocket(bindSocket(), failure) }
                    b.start()
                    delay(100.milliseconds)
                    a.start()
                    awaitConnected(a, "b") shouldBe true
                    a.stop()
                    b.stop()
                }
            }

            it("listens again after the socket was closed") {
                val ports = listOf(freePort(), freePort())
                val a = network("a", ports[0], mapOf("b" to ports[1]))
                val b = network("b", ports[1], mapOf("a" to ports[0]))
                val bindSocket = b.bind
                val sockets = mutableListOf<ListeningSocket>()
                b.bind = { bindSocket().also { sockets += it } }
                b.start()
                delay(100.milliseconds)
                sockets.single().close()
                a.start()
                awaitConnected(a, "b") shouldBe true
                a.stop()
                b.stop()
            }
        }

        describe("an instance whose check of its connections fails once") {
            /** Clock that fails the first time that the check of the connections reads it. */
            class FailingClock : Clock by SystemClock {
                val checks = AtomicInteger()

                override fun elapsed(): Duration {
                    val isCheck = Throwable().stackTrace.any { it.methodName == "checkLiveness" }
                    if (isCheck && checks.incrementAndGet() == 1) throw AssertionError("unexpected")
                    return SystemClock.elapsed()
                }
            }

            // Guards against connections to peers that do not answer any more and that are never replaced.
            it("goes on checking them") {
                val ports = listOf(freePort(), freePort())
                val clock = FailingClock()
                val a = network("a", ports[0], mapOf("b" to ports[1]), clock = clock)
                val b = network("b", ports[1], mapOf("a" to ports[0]))
                b.handler = PeerHandler { _, _ -> awaitCancellation() }
                b.start()
                a.start()
                awaitConnected(a, "b") shouldBe true
                withTimeoutOrNull(5.seconds) {
                    while (clock.checks.get() < 3) {
                        a.send("b", PeerMessage.StatusRequest)
                        delay(10.milliseconds)
                    }
                } shouldNotBe null
                a.stop()
                b.stop()
            }
        }

        describe("a peer that was disconnected") {
            it("is connected again only when that is asked for") {
                val ports = listOf(freePort(), freePort())
                val a = network("a", ports[0], mapOf("b" to ports[1]))
                val b = network("b", ports[1], mapOf("a" to ports[0]))
                a.start()
                b.start()
                awaitConnected(a, "b") shouldBe true
                a.disconnect("b")
                delay(500.milliseconds)
                a.connectedPeers shouldBe emptySet()
                a.connectTo("b", PeerAddress("127.0.0.1", ports[1]))
                awaitConnected(a, "b") shouldBe true
                a.stop()
                b.stop()
            }
        }

        describe("an instance with another secret") {
            it("is not connected in either direction") {
                val ports = listOf(freePort(), freePort())
                val a = network("a", ports[0], mapOf("b" to ports[1]))
                val impostor = network("b", ports[1], mapOf("a" to ports[0]), secret = "a guessed secret")
                a.start()
                impostor.start()
                delay(500.milliseconds)
                a.connectedPeers shouldBe emptySet()
                impostor.connectedPeers shouldBe emptySet()
                a.stop()
                impostor.stop()
            }
        }

        describe("a peer that accepted the connection but did not answer the handshake") {
            // The connect timeout is a CancellationException, which must not end the reconnect loop.
            it("is connected once it has restarted") {
                val ports = listOf(freePort(), freePort())
                val a = network("a", ports[0], mapOf("b" to ports[1]))
                val unresponsiveServer = ServerSocket(ports[1])
                a.start()
                val accepted = unresponsiveServer.accept()
                delay(1500.milliseconds)
                accepted.close()
                unresponsiveServer.close()
                val b = network("b", ports[1], mapOf("a" to ports[0]))
                b.start()
                awaitConnected(a, "b") shouldBe true
                a.stop()
                b.stop()
            }
        }

        describe("malformed input on the peer port") {
            it("closes only its own connection") {
                val ports = listOf(freePort(), freePort())
                val a = network("a", ports[0], mapOf("b" to ports[1]))
                val b = network("b", ports[1], mapOf("a" to ports[0]))
                a.start()
                b.start()
                for (input in listOf("GET / HTTP/1.1\r\n\r\n", "\u0000\u0000\u0000\u0001\u007f\u007f\u007f\u007f", "")) {
                    Socket().use {
                        it.connect(InetSocketAddress("127.0.0.1", ports[1]))
                        it.getOutputStream().write(input.toByteArray())
                    }
                }
                awaitConnected(a, "b") shouldBe true
                a.call("b", PeerMessage.Ping).isRight() shouldBe true
                a.stop()
                b.stop()
            }
        }
    })
