@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.wire

import anvilslip.state.ConfigurationDocument
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** A [ConfigurationDocument] whose text is compressed with DEFLATE. */
@Serializable
public class CompressedDocument internal constructor(
    @CborLabel(1) public val version: Long,
    @ByteString @CborLabel(2) private val deflated: ByteArray,
) {
    /** Size of the compressed text in bytes. */
    public val sizeBytes: Int get() = deflated.size

    /** The document, decompressed once; null if the text is malformed or larger than [MAX_TEXT_BYTES]. */
    public val document: ConfigurationDocument? by lazy { inflate(deflated)?.let { ConfigurationDocument(version, it.decodeToString()) } }

    override fun equals(other: Any?): Boolean =
        other is CompressedDocument && version == other.version && deflated.contentEquals(other.deflated)

    override fun hashCode(): Int = deflated.contentHashCode()

    override fun toString(): String = "CompressedDocument(version=$version, sizeBytes=$sizeBytes)"

    public companion object {
        /** Maximum size of the decompressed text, that of the largest document that operators can send. */
        public const val MAX_TEXT_BYTES: Int = 16 * 1024 * 1024
        private const val BUFFER_BYTES = 64 * 1024

        /** Compresses [document]. */
        public fun of(document: ConfigurationDocument): CompressedDocument =
            CompressedDocument(document.version, deflate(document.text.toByteArray()))

        private fun deflate(text: ByteArray): ByteArray {
            val deflater = Deflater()
            try {
                deflater.setInput(text)
                deflater.finish()
                val out = ByteArrayOutputStream()
                val buffer = ByteArray(BUFFER_BYTES)
                while (!deflater.finished()) out.write(buffer, 0, deflater.deflate(buffer))
                return out.toByteArray()
            } finally {
                deflater.end()
            }
        }

        private fun inflate(bytes: ByteArray): ByteArray? {
            val inflater = Inflater()
            try {
                inflater.setInput(bytes)
                val out = ByteArrayOutputStream()
                val buffer = ByteArray(BUFFER_BYTES)
                while (!inflater.finished()) {
                    val count = inflater.inflate(buffer)
                    // A truncated text, or one that needs a dictionary, yields nothing.
                    if (count == 0 && !inflater.finished()) return null
                    if (out.size() + count > MAX_TEXT_BYTES) return null
                    out.write(buffer, 0, count)
                }
                return out.toByteArray()
            } catch (e: DataFormatException) {
                return null
            } finally {
                inflater.end()
            }
        }
    }
}
