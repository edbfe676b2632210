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

        /** The record is what was written, but this build cannot read it. */
        data class Unknown(
            val reason: String?,
        ) : Decoded<Nothing>
    }

    const val HEADER_BYTES = 12
    private const val CHECKED_HEADER_BYTES = 8
    private const val MAX_RECORD_BYTES = 256 * 1024 * 1024
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [value] as a header and a body, which follow each other in the file. */
    fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): Sequence<ByteArray> {
        val body = cbor.encodeToByteArray(serializer, value)
        val header = ByteBuffer.allocate(HEADER_BYTES).putInt(body.size).putInt(checksum(body))
        header.putInt(checksum(header.array().copyOf(CHECKED_HEADER_BYTES)))
        return sequenceOf(header.array(), body)
    }

    /** Reads the next record of [file]. */
    fun <T> decode(
        serializer: KSerializer<T>,
        file: StoredFile,
    ): Decoded<T> {
        if (file.remaining < HEADER_BYTES) return Decoded.Torn
        val header = ByteBuffer.wrap(file.read(HEADER_BYTES))
        val length = header.getInt()
        val bodyChecksum = header.getInt()
        val headerValid = checksum(header.array().copyOf(CHECKED_HEADER_BYTES)) == header.getInt() && length in 0..MAX_RECORD_BYTES
        if (!headerValid) return if (file.isZeroToEnd()) Decoded.Torn else Decoded.Damaged
        if (file.remaining < length) return Decoded.Torn
        val body = file.read(length)
        if (checksum(body) != bodyChecksum) return if (isTornTail(file, body)) Decoded.Torn else Decoded.Damaged
        return decodeBody(serializer, body)
    }

    private fun <T> decodeBody(
        serializer: KSerializer<T>,
        body: ByteArray,
    ): Decoded<T> =
        try {
            Decoded.Complete(cbor.decodeFromByteArray(serializer, body))
        } catch (e: SerializationException) {
            Decoded.Unknown(e.message)
        } catch (e: IllegalArgumentException) {
            Decoded.Unknown(e.message)
        }

    /**
     * Returns true if the record ends in a zero byte and only zeros follow: the file was extended on disk before the data was written.
     * A complete record never ends in a zero byte, because the CBOR encoding of a class ends with a break byte. A write can hold
     * several records, so the torn one need not be the last for which the file was extended.
     */
    private fun isTornTail(
        file: StoredFile,
        body: ByteArray,
    ): Boolean = body.lastOrNull() == 0.toByte() && file.isZeroToEnd()

    private fun checksum(body: ByteArray): Int = CRC32C().apply { update(body) }.value.toInt()
}
