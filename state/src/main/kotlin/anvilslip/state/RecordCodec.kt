package anvilslip.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/**
 * Encodes records as frames of `body length, CRC-32C of the body, CRC-32C of the two preceding fields, body`. The body is CBOR.
 *
 * The checksum of the header distinguishes a truncated record from one with a damaged length.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object RecordCodec {
    sealed interface Decoded<out T> {
        data class Complete<T>(
            val value: T,
        ) : Decoded<T>

        /** The record was not written completely. */
        data object Torn : Decoded<Nothing>

        /** The record is complete, but its content is not what was written. */
        data object Damaged : Decoded<Nothing>
    }

    const val HEADER_BYTES = 12
    private const val CHECKED_HEADER_BYTES = 8
    private const val MAX_RECORD_BYTES = 256 * 1024 * 1024
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray {
        val body = cbor.encodeToByteArray(serializer, value)
        val frame = ByteBuffer.allocate(HEADER_BYTES + body.size)
        frame.putInt(body.size).putInt(checksum(body))
        frame.putInt(checksum(frame.array().copyOf(CHECKED_HEADER_BYTES))).put(body)
        return frame.array()
    }

    /** Decodes the record at the position of [bytes], and moves the position past the record if it is complete. */
    fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteBuffer,
    ): Decoded<T> {
        if (bytes.remaining() < HEADER_BYTES) return Decoded.Torn
        val start = bytes.position()
        val header = ByteArray(CHECKED_HEADER_BYTES).also { bytes.get(start, it) }
        val length = bytes.getInt(start)
        val headerValid = checksum(header) == bytes.getInt(start + CHECKED_HEADER_BYTES) && length in 0..MAX_RECORD_BYTES
        if (!headerValid) return if (isZeroFrom(bytes, start + HEADER_BYTES)) Decoded.Torn else Decoded.Damaged
        if (bytes.remaining() - HEADER_BYTES < length) return Decoded.Torn
        val body = ByteArray(length).also { bytes.get(start + HEADER_BYTES, it) }
        if (checksum(body) != bytes.getInt(start + Int.SIZE_BYTES)) return if (isTornTail(bytes, body)) Decoded.Torn else Decoded.Damaged
        bytes.position(start + HEADER_BYTES + length)
        return decodeBody(serializer, body)
    }

    private fun <T> decodeBody(
        serializer: KSerializer<T>,
        body: ByteArray,
    ): Decoded<T> =
        try {
            Decoded.Complete(cbor.decodeFromByteArray(serializer, body))
        } catch (_: SerializationException) {
            Decoded.Damaged
        } catch (_: IllegalArgumentException) {
            Decoded.Damaged
        }

    /**
     * Returns true if the last record of the file ends in a zero byte: the file was extended on disk before the data was
     * written. A complete record never ends in a zero byte, because the CBOR encoding of a class ends with a break byte.
     */
    private fun isTornTail(
        bytes: ByteBuffer,
        body: ByteArray,
    ): Boolean = bytes.remaining() == HEADER_BYTES + body.size && body.lastOrNull() == 0.toByte()

    /** Returns true if all bytes from [from] on are zero, as after a power loss while the header was written. */
    private fun isZeroFrom(
        bytes: ByteBuffer,
        from: Int,
    ): Boolean = (from until bytes.limit()).all { bytes.get(it) == 0.toByte() }

    private fun checksum(body: ByteArray): Int = CRC32C().apply { update(body) }.value.toInt()
}
