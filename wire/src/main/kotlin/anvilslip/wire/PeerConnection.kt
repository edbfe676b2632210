package anvilslip.wire

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException
import java.security.SecureRandom

/** An authenticated connection to another instance. Frames are a four-byte length and CBOR. */
internal class PeerConnection private constructor(
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    val peer: String,
) {
    suspend fun read(): ByteArray {
        val length = input.readInt()
        if (length !in 1..FrameCodec.MAX_FRAME_BYTES) throw IOException("frame of $length bytes from $peer")
        return input.readByteArray(length)
    }

    suspend fun write(
        bytes: ByteArray,
        flush: Boolean,
    ) {
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
        if (flush) output.flush()
    }

    fun close() = socket.close()

    companion object {
        private const val MAX_NAME_BYTES = 256
        private val random = SecureRandom()

        /** Proves to the other end that this is [self] and checks that it is [expected]. */
        suspend fun initiate(
            socket: Socket,
            self: String,
            expected: String,
            handshake: Handshake,
        ): PeerConnection {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            val nonce = nonce()
            output.writeInt(Handshake.VERSION)
            output.writeName(self)
            output.writeByteArray(nonce)
            output.flush()
            val peer = input.readName()
            val peerNonce = input.readByteArray(Handshake.NONCE_BYTES)
            val peerProof = input.readByteArray(Handshake.PROOF_BYTES)
            if (peer != expected) throw IOException("expected $expected but met $peer")
            if (!handshake.matches(
                    handshake.proof(peer, self, peerNonce, nonce),
                    peerProof,
                )
            ) {
                throw IOException("$peer does not know the secret")
            }
            output.writeByteArray(handshake.proof(self, peer, nonce, peerNonce))
            output.flush()
            return PeerConnection(socket, input, output, peer)
        }

        /** Proves to the other end that this is [self] and checks that [allows] lets it in. */
        suspend fun accept(
            socket: Socket,
            self: String,
            allows: (peer: String) -> Boolean,
            handshake: Handshake,
        ): PeerConnection {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            val version = input.readInt()
            if (version != Handshake.VERSION) throw IOException("peer protocol $version is not ${Handshake.VERSION}")
            val peer = input.readName()
            val peerNonce = input.readByteArray(Handshake.NONCE_BYTES)
            if (!allows(peer)) throw IOException("unknown peer")
            val nonce = nonce()
            output.writeName(self)
            output.writeByteArray(nonce)
            output.writeByteArray(handshake.proof(self, peer, nonce, peerNonce))
            output.flush()
            val proof = input.readByteArray(Handshake.PROOF_BYTES)
            if (!handshake.matches(
                    handshake.proof(peer, self, peerNonce, nonce),
                    proof,
                )
            ) {
                throw IOException("$peer does not know the secret")
            }
            return PeerConnection(socket, input, output, peer)
        }

        private fun nonce() = ByteArray(Handshake.NONCE_BYTES).also(random::nextBytes)

        private suspend fun ByteWriteChannel.writeName(name: String) {
            val bytes = name.toByteArray()
            writeInt(bytes.size)
            writeByteArray(bytes)
        }

        private suspend fun ByteReadChannel.readName(): String {
            val length = readInt()
            if (length !in 1..MAX_NAME_BYTES) throw IOException("name of $length bytes")
            return readByteArray(length).decodeToString()
        }
    }
}
