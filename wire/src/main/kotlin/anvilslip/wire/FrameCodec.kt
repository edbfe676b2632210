package anvilslip.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** Encodes frames to CBOR and decodes them. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    /** Maximum accepted size of a frame in bytes. */
    const val MAX_FRAME_BYTES = 64 * 1024 * 1024

    fun encode(frame: Frame): ByteArray = PeerFormat.cbor.encodeToByteArray(Frame.serializer(), frame)

    fun decode(bytes: ByteArray): Either<FrameError, Frame> =
        decode(Frame.serializer(), bytes).fold({ reason -> findError(bytes, reason).left() }, { it.right() })

    /** Tells a message of an unknown kind from bytes that are no frame. */
    private fun findError(
        bytes: ByteArray,
        reason: String,
    ): FrameError =
        decode(FrameHeader.serializer(), bytes).fold({ FrameError.Malformed(reason) }, { FrameError.UnknownMessage(it, reason) })

    private fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): Either<String, T> =
        try {
            PeerFormat.cbor.decodeFromByteArray(serializer, bytes).right()
        } catch (e: SerializationException) {
            (e.message ?: "malformed frame").left()
        } catch (e: IllegalArgumentException) {
            (e.message ?: "malformed frame").left()
        } catch (e: IndexOutOfBoundsException) {
            (e.message ?: "malformed frame").left()
        }
}
