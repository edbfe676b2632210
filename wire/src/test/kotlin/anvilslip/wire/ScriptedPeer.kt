package anvilslip.wire

import anvilslip.kernel.Stamp
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.Dispatchers

/** A peer named `b` that leaves it to the test when and with which IDs calls are answered. */
internal class ScriptedPeer private constructor(
    private val selector: SelectorManager,
    private val server: ServerSocket,
    private val secret: ByteArray,
) : AutoCloseable {
    val address: PeerAddress get() = PeerAddress("127.0.0.1", server.port)

    /** Accepts the next connection and runs the handshake. */
    suspend fun accept(): PeerConnection = PeerConnection.accept(server.accept(), "b", { true }, {}, Handshake(secret))

    override fun close() {
        server.close()
        selector.close()
    }

    companion object {
        suspend fun start(secret: String): ScriptedPeer {
            val selector = SelectorManager(Dispatchers.IO)
            return ScriptedPeer(selector, aSocket(selector).tcp().bind("127.0.0.1", 0), secret.toByteArray())
        }
    }
}

/** Reads the next call; its content is in the reason of a [PeerMessage.Failed]. */
internal suspend fun PeerConnection.readCall(): Frame {
    while (true) {
        val frame = FrameCodec.decode(read()).fold({ error(it) }, { it })
        if (frame.message is PeerMessage.Failed) return frame
    }
}

/** Sends the reply that belongs to [call]. */
internal suspend fun PeerConnection.reply(call: Frame) {
    val content = (call.message as PeerMessage.Failed).reason
    write(FrameCodec.encode(Frame(call.callId, true, Stamp(0, 0), PeerMessage.Failed("reply to $content"))), flush = true)
}
