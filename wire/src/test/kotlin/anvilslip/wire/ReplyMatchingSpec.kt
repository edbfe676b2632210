package anvilslip.wire

import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a call that gets the reply to another call, because replies come late, twice, in another order or after a reconnect. */
class ReplyMatchingSpec :
    DescribeSpec({
        val secret = "the shared secret"

        fun networkTo(peer: ScriptedPeer) =
            PeerNetwork(
                self = "a",
                listen = PeerAddress("127.0.0.1", 0),
                peers = mapOf("b" to peer.address),
                secret = secret.toByteArray(),
                clock = SystemClock,
                hybridClock = HybridClock(SystemClock),
                options = PeerOptions(silenceTimeout = 10.seconds, reconnectDelay = 20.milliseconds),
            )

        suspend fun PeerNetwork.ask(
            content: String,
            timeout: Duration = 2.seconds,
        ) = call("b", PeerMessage.Failed(content), timeout)

        fun replyTo(content: String) = PeerMessage.Failed("reply to $content").right()
        val noReply = PeerError.NoAnswer("b").left()

        suspend fun PeerNetwork.startConnected(peer: ScriptedPeer): PeerConnection {
            start()
            val connection = peer.accept()
            awaitConnected()
            return connection
        }

        suspend fun withPeer(test: suspend (network: PeerNetwork, peer: ScriptedPeer, connection: PeerConnection) -> Unit) =
            ScriptedPeer.start(secret).use { peer ->
                val network = networkTo(peer)
                try {
                    test(network, peer, network.startConnected(peer))
                } finally {
                    network.stop()
                }
            }

        describe("a call to a peer") {
            it("gets its own reply when replies come in reverse order") {
                withPeer { network, _, connection ->
                    coroutineScope {
                        val contents = (1..10).map { "$it" }
                        val replies = contents.map { async { network.ask(it) } }
                        val calls = contents.map { connection.readCall() }
                        calls.map { it.callId }.toSet().size shouldBe contents.size
                        calls.reversed().forEach { connection.reply(it) }
                        replies.awaitAll() shouldBe contents.map(::replyTo)
                    }
                }
            }

            it("gets its own reply when the reply to a call that timed out comes first") {
                withPeer { network, _, connection ->
                    network.ask("1", 50.milliseconds) shouldBe noReply
                    coroutineScope {
                        val second = async { network.ask("2") }
                        val calls = List(2) { connection.readCall() }
                        calls.forEach { connection.reply(it) }
                        second.await() shouldBe replyTo("2")
                    }
                }
            }

            it("gets its own reply when the reply to the call before comes a second time") {
                withPeer { network, _, connection ->
                    coroutineScope {
                        val first = async { network.ask("1") }
                        val firstCall = connection.readCall().also { connection.reply(it) }
                        first.await() shouldBe replyTo("1")
                        val second = async { network.ask("2") }
                        val secondCall = connection.readCall()
                        connection.reply(firstCall)
                        connection.reply(secondCall)
                        second.await() shouldBe replyTo("2")
                    }
                }
            }

            it("gets its own reply when the reply to a call before the reconnect comes first") {
                withPeer { network, peer, connection ->
                    coroutineScope {
                        val first = async { network.ask("1") }
                        val firstCall = connection.readCall()
                        connection.close()
                        first.await() shouldBe noReply
                        val reconnected = peer.accept()
                        network.awaitConnected()
                        val second = async { network.ask("2") }
                        val secondCall = reconnected.readCall()
                        secondCall.callId shouldNotBe firstCall.callId
                        reconnected.reply(firstCall)
                        reconnected.reply(secondCall)
                        second.await() shouldBe replyTo("2")
                    }
                }
            }

            it("gets its own reply when a call of the previous incarnation had the same ID and is answered late") {
                ScriptedPeer.start(secret).use { peer ->
                    val previous = networkTo(peer)
                    val previousConnection = previous.startConnected(peer)
                    previous.ask("1", 50.milliseconds) shouldBe noReply
                    val previousCall = previousConnection.readCall()
                    previous.stop()
                    val network = networkTo(peer)
                    val connection = network.startConnected(peer)
                    coroutineScope {
                        val second = async { network.ask("2") }
                        val call = connection.readCall()
                        call.callId shouldBe previousCall.callId
                        runCatching { previousConnection.reply(previousCall) }
                        connection.reply(call)
                        second.await() shouldBe replyTo("2")
                    }
                    network.stop()
                }
            }
        }
    })

private suspend fun PeerNetwork.awaitConnected() =
    withTimeout(5.seconds) {
        while ("b" !in connectedPeers) delay(5.milliseconds)
    }
