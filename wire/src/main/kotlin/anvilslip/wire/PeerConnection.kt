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

/** An authenticated connection to another instance. Each frame is a four-byte length followed by CBOR. */
internal class PeerConnection private constructor(
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    val peer: String,
) {
    suspend fun read(): ByteArray {
        val length = input.readInt()
        if (length !in 1..FrameCodec.MAX_FRAME_BYTES) throw IOException("invalid frame length: $length bytes from $peer")
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

        /** Runs the handshake as the connecting side: authenticates as [self] and verifies that the peer is [expected]. */
        suspend fun initiate(
            socket: Socket,
            self: String,
            expected: String,
            handshake: Handshake,
        ): PeerConnection {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            val nonce = newNonce()
            output.writeInt(Handshake.VERSION)
            output.writeName(self)
            output.writeByteArray(nonce)
            output.flush()
            val peer = input.readName()
            val peerNonce = input.readByteArray(Handshake.NONCE_BYTES)
            val peerProof = input.readByteArray(Handshake.PROOF_BYTES)
            if (peer != expected) throw IOException("expected peer $expected but connected to $peer")
            if (!handshake.matches(
                    handshake.proof(peer, self, peerNonce, nonce),
                    peerProof,
                )
            ) {
                throw IOException("authentication of $peer failed: it does not hold the shared secret")
            }
            output.writeByteArray(handshake.proof(self, peer, nonce, peerNonce))
            output.flush()
            return PeerConnection(socket, input, output, peer)
        }

        /**
         * Runs the handshake as the accepting side: authenticates as [self] and verifies the peer, which [isAllowed] must permit. The costly
         * part begins once [admission] permits it.
         */
        suspend fun accept(
            socket: Socket,
            self: String,
            isAllowed: (peer: String) -> Boolean,
            admission: PeerAdmission,
            handshake: Handshake,
        ): PeerConnection {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            val version = input.readInt()
            if (version != Handshake.VERSION) throw IOException("unsupported peer protocol version $version, expected ${Handshake.VERSION}")
            val peer = input.readName()
            val peerNonce = input.readByteArray(Handshake.NONCE_BYTES)
            if (!isAllowed(peer)) throw IOException("unknown peer name")
            admission.await(peer)
            val nonce = newNonce()
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
                throw IOException("authentication of $peer failed: it does not hold the shared secret")
            }
            return PeerConnection(socket, input, output, peer)
        }

        private fun newNonce() = ByteArray(Handshake.NONCE_BYTES).also(random::nextBytes)

        private suspend fun ByteWriteChannel.writeName(name: String) {
            val bytes = name.toByteArray()
            writeInt(bytes.size)
            writeByteArray(bytes)
        }

        private suspend fun ByteReadChannel.readName(): String {
            val length = readInt()
            if (length !in 1..MAX_NAME_BYTES) throw IOException("invalid length of peer name: $length bytes")
            return readByteArray(length).decodeToString()
        }
    }
}
