package anvilslip.wire

import anvilslip.kernel.HybridClock
import anvilslip.kernel.Stamp
import anvilslip.kernel.SystemClock
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.RequestEvent
import anvilslip.policy.RequestStep
import anvilslip.state.Command
import anvilslip.state.LogEntry
import anvilslip.state.Outcome
import anvilslip.state.Payload
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaMessage
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
 * While machines are replaced one after the other, builds of two versions exchange messages. These tests guard against a message that only
 * the later build knows ending the connection, and with it all calls that are waiting on it.
 */
class UnknownMessageSpec :
    DescribeSpec({
        val secret = "the shared secret"

        fun freeAddress() = PeerAddress("127.0.0.1", ServerSocket(0).use { it.localPort })

        fun network(
            listen: PeerAddress = freeAddress(),
            peers: Map<String, PeerAddress> = emptyMap(),
        ) = PeerNetwork(
            self = "a",
            listen = listen,
            peers = peers,
            secret = secret.toByteArray(),
            clock = SystemClock,
            hybridClock = HybridClock(SystemClock),
            acceptsPeer = { true },
        )

        /** Encodes a frame in which the name of a kind or value is replaced by one that this build does not know. */
        fun encodeUnknown(
            callId: Long,
            isReply: Boolean,
            message: PeerMessage,
            name: String,
        ): ByteArray {
            val bytes = FrameCodec.encode(Frame(callId, isReply, Stamp(1, 1), message))
            val text = bytes.toString(Charsets.ISO_8859_1)
            check(text.split(name).size == 2) { "$name is not once in the frame" }
            return text.replace(name, name.dropLast(1) + "?").toByteArray(Charsets.ISO_8859_1)
        }

        fun append(payload: Payload) = ReplicaMessage.Append(1, 0, 0, listOf(LogEntry(1, 1, payload)), 0, 1)

        fun replica(message: ReplicaMessage) = PeerMessage.Replica(ReplicaId("b", "x"), ReplicaId("a", "y"), message)

        val requests =
            mapOf(
                "kind" to (PeerMessage.StatusRequest to "status_request"),
                "kind of command" to (PeerMessage.Propose(Command.ReadBarrier) to "confirm"),
                "way of delivery" to (PeerMessage.Watch(documentDelivery = DocumentDelivery.COMPRESSED) to "compressed"),
                "step of a request" to (PeerMessage.Progress("b", listOf(RequestEvent(1, RequestStep.NOT_HELD))) to "NOT_HELD"),
                "kind of replication message" to (replica(ReplicaMessage.Join()) to "join"),
                "payload in the log" to (replica(append(Payload.Noop)) to "noop"),
                "command in the log" to (replica(append(Payload.Apply(Command.ReadBarrier, 1))) to "confirm"),
            )

        val answers =
            mapOf(
                "kind" to (PeerMessage.Ack to "ack"),
                "reason for a refusal" to
                    (PeerMessage.AdmitReply(1, DispatchDecision.Refuse(DispatchRefusal.VERSION_GONE, 1)) to "VERSION_GONE"),
                "decision" to (PeerMessage.AdmitReply(1, DispatchDecision.Wait) to "wait"),
                "outcome" to (PeerMessage.ProposeReply(Outcome.Done) to "done"),
            )

        describe("a message with an unknown") {
            for ((what, case) in requests) {
                it("$what is answered with a failure, and the connection stays open") {
                    val address = freeAddress()
                    val network = network(listen = address)
                    network.start()
                    val selector = SelectorManager(Dispatchers.IO)
                    val socket = aSocket(selector).tcp().connect(address.host, address.port)
                    val connection = PeerConnection.initiate(socket, "b", "a", Handshake(secret.toByteArray()))
                    connection.write(encodeUnknown(0, false, case.first, case.second), flush = true)
                    connection.write(encodeUnknown(7, false, case.first, case.second), flush = true)
                    connection.write(FrameCodec.encode(Frame(8, false, Stamp(2, 1), PeerMessage.Ping)), flush = true)
                    val received = withTimeout(5.seconds) { List(2) { FrameCodec.decode(connection.read()).getOrNull()!! } }
                    received.map { it.callId } shouldBe listOf(7L, 8L)
                    received.first().message.shouldBeInstanceOf<PeerMessage.Failed>()
                    received.last().message shouldBe PeerMessage.Ack
                    connection.close()
                    selector.close()
                    network.stop()
                }
            }
        }

        describe("an answer with an unknown") {
            for ((what, case) in answers) {
                it("$what ends its call as a failure, and the connection stays open") {
                    ScriptedPeer.start(secret).use { peer ->
                        val network = network(peers = mapOf("b" to peer.address))
                        network.start()
                        val connection = peer.accept()
                        withTimeout(5.seconds) { while ("b" !in network.connectedPeers) delay(10.milliseconds) }
                        coroutineScope {
                            val first = async { network.call("b", PeerMessage.Failed("first"), 5.seconds) }
                            connection.write(encodeUnknown(connection.readCall().callId, true, case.first, case.second), flush = true)
                            first.await().getOrNull().shouldBeInstanceOf<PeerMessage.Failed>()
                            val second = async { network.call("b", PeerMessage.Failed("second"), 5.seconds) }
                            connection.reply(connection.readCall())
                            second.await().getOrNull() shouldBe PeerMessage.Failed("reply to second")
                        }
                        network.stop()
                    }
                }
            }
        }
    })
