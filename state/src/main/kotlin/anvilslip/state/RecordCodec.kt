package anvilslip.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/**
 * Frames of `length, CRC-32C of the body, CRC-32C of these two, body`; the body is CBOR. The checksum of the header tells a
 * record that was cut short from one whose length was damaged.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object RecordCodec {
    sealed interface Decoded<out T> {
        data class Whole<T>(
            val value: T,
        ) : Decoded<T>

        /** The input ends within the record. */
        data object Torn : Decoded<Nothing>

        /** The record is there but is not what was written. */
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

    /** The next record of [bytes], whose position moves past it when it is whole. */
    fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteBuffer,
    ): Decoded<T> {
        if (bytes.remaining() < HEADER_BYTES) return Decoded.Torn
        val start = bytes.position()
        val header = ByteArray(CHECKED_HEADER_BYTES).also { bytes.get(start, it) }
        val length = bytes.getInt(start)
        val headerHolds = checksum(header) == bytes.getInt(start + CHECKED_HEADER_BYTES) && length in 0..MAX_RECORD_BYTES
        if (!headerHolds) return if (isZero(bytes, start + HEADER_BYTES)) Decoded.Torn else Decoded.Damaged
        if (bytes.remaining() - HEADER_BYTES < length) return Decoded.Torn
        val body = ByteArray(length).also { bytes.get(start + HEADER_BYTES, it) }
        if (checksum(body) != bytes.getInt(start + Int.SIZE_BYTES)) return if (isTornLast(bytes, body)) Decoded.Torn else Decoded.Damaged
        bytes.position(start + HEADER_BYTES + length)
        return decodeBody(serializer, body)
    }

    private fun <T> decodeBody(
        serializer: KSerializer<T>,
        body: ByteArray,
    ): Decoded<T> =
        try {
            Decoded.Whole(cbor.decodeFromByteArray(serializer, body))
        } catch (_: SerializationException) {
            Decoded.Damaged
        } catch (_: IllegalArgumentException) {
            Decoded.Damaged
        }

    /**
     * True when the last record of the file ends in zeros: the length reached the disk before the data did. No record ends so
     * when it is whole, since the CBOR of a class closes with a break.
     */
    private fun isTornLast(
        bytes: ByteBuffer,
        body: ByteArray,
    ): Boolean = bytes.remaining() == HEADER_BYTES + body.size && body.lastOrNull() == 0.toByte()

    /** True when nothing but zeros follows: the header was being written when the power went. */
    private fun isZero(
        bytes: ByteBuffer,
        from: Int,
    ): Boolean = (from until bytes.limit()).all { bytes.get(it) == 0.toByte() }

    private fun checksum(body: ByteArray): Int = CRC32C().apply { update(body) }.value.toInt()
}
