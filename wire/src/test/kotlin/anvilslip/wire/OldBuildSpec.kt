package anvilslip.wire

import anvilslip.kernel.HybridClock
import anvilslip.kernel.Stamp
import anvilslip.kernel.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A build that states no level closes a connection on which an unknown message arrives. These tests guard against such a message being sent
 * to it, which would end all calls that wait on the connection, again and again while machines are replaced.
 */
class OldBuildSpec :
    DescribeSpec({
        val secret = "the shared secret"

        fun freeAddress() = PeerAddress("127.0.0.1", ServerSocket(0).use { it.localPort })

        /** A network of a build that has added the message [added]. */
        fun network(
            added: PeerMessage,
            listen: PeerAddress = freeAddress(),
            peers: Map<String, PeerAddress> = emptyMap(),
        ) = PeerNetwork("a", listen, peers, secret.toByteArray(), SystemClock, HybridClock(SystemClock), acceptsPeer = { true })
            .also { it.isUnknownToOldBuilds = { message -> message == added } }

        suspend fun PeerConnection.readFrame() = FrameCodec.decode(read()).fold({ error(it) }, { it })

        suspend fun PeerConnection.answerPing(level: Int) {
            val ping = readFrame()
            ping.message shouldBe PeerMessage.Ping
            write(FrameCodec.encode(Frame(ping.callId, true, Stamp(1, 1), PeerMessage.Ack, level)), flush = true)
        }

        describe("a message that was added later") {
            for (level in listOf(PeerLevel.CLOSES_ON_UNKNOWN, PeerLevel.ANSWERS_UNKNOWN)) {
                val isSent = level == PeerLevel.ANSWERS_UNKNOWN

                it(if (isSent) "is sent to a build that answers unknown messages" else "is not sent to a build that states no level") {
                    ScriptedPeer.start(secret).use { peer ->
                        val added = PeerMessage.Failed("added")
                        val network = network(added, peers = mapOf("b" to peer.address))
                        network.start()
                        val connection = peer.accept()
                        connection.answerPing(level)
                        withTimeout(5.seconds) { while ("b" !in network.connectedPeers) delay(10.milliseconds) }
                        delay(100.milliseconds)
                        network.send("b", added)
                        coroutineScope {
                            val first = async { network.call("b", added, 5.seconds) }
                            val second = async { first.join().let { network.call("b", PeerMessage.Failed("known"), 5.seconds) } }
                            val received = mutableListOf<PeerMessage>()
                            while (received.lastOrNull() != PeerMessage.Failed("known")) {
                                val call = connection.readCall()
                                received += call.message
                                if (call.callId != 0L) connection.reply(call)
                            }
                            received shouldBe (if (isSent) listOf(added, added) else emptyList()) + PeerMessage.Failed("known")
                            first.await().leftOrNull() shouldBe if (isSent) null else PeerError.Unsupported("b")
                            second.await().getOrNull() shouldBe PeerMessage.Failed("reply to known")
                        }
                        network.stop()
                    }
                }
            }
        }

        describe("an answer that was added later") {
            for (level in listOf(PeerLevel.CLOSES_ON_UNKNOWN, PeerLevel.ANSWERS_UNKNOWN)) {
                val isSent = level == PeerLevel.ANSWERS_UNKNOWN

                it(if (isSent) "is sent to a build that skips unknown messages" else "becomes a failure for a build that states no level") {
                    val added = PeerMessage.Failed("added")
                    val address = freeAddress()
                    val network = network(added, listen = address)
                    network.handler = PeerHandler { _, _ -> added }
                    network.start()
                    val selector = SelectorManager(Dispatchers.IO)
                    val socket = aSocket(selector).tcp().connect(address.host, address.port)
                    val connection = PeerConnection.initiate(socket, "b", "a", Handshake(secret.toByteArray()))
                    connection.write(FrameCodec.encode(Frame(7, false, Stamp(1, 1), PeerMessage.StatusRequest, level)), flush = true)
                    val answer = withTimeout(5.seconds) { connection.readFrame() }
                    answer.level shouldBe PeerLevel.CURRENT
                    answer.message.shouldBeInstanceOf<PeerMessage.Failed>()
                    (answer.message == added) shouldBe isSent
                    connection.close()
                    selector.close()
                    network.stop()
                }
            }
        }
    })
