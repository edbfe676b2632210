package anvilslip.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException

/** Encodes frames to CBOR and decodes them. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    /** Maximum accepted size of a frame in bytes. */
    const val MAX_FRAME_BYTES = 64 * 1024 * 1024

    fun encode(frame: Frame): ByteArray = PeerFormat.cbor.encodeToByteArray(Frame.serializer(), frame)

    fun decode(bytes: ByteArray): Either<String, Frame> =
        try {
            PeerFormat.cbor.decodeFromByteArray(Frame.serializer(), bytes).right()
        } catch (e: SerializationException) {
            (e.message ?: "malformed frame").left()
        } catch (e: IllegalArgumentException) {
            (e.message ?: "malformed frame").left()
        } catch (e: IndexOutOfBoundsException) {
            (e.message ?: "malformed frame").left()
        }
}
