package anvilslip.policy

import java.io.ByteArrayOutputStream

/**
 * Cuts the bytes of an event stream into whole events, each up to and with its blank line, and follows their IDs.
 * An event that is cut off, or that was passed on before, is held back.
 */
public class SseEventBuffer(
    lastId: Long? = null,
) {
    private val partial = ByteArrayOutputStream()
    private var lineIsEmpty = true

    /** ID of the last event that was passed on; null when there was none. */
    public var lastId: Long? = lastId
        private set

    /** True while the bytes of an unfinished event are held back. */
    public val hasPartialEvent: Boolean get() = partial.size() > 0

    /** Takes in [bytes] and returns the whole events that they end, one after the other. */
    public fun append(bytes: ByteArray): ByteArray {
        val whole = ByteArrayOutputStream()
        for (byte in bytes) {
            partial.write(byte.toInt())
            if (byte == LF) {
                if (lineIsEmpty) finish(whole)
                lineIsEmpty = true
            } else if (byte != CR) {
                lineIsEmpty = false
            }
        }
        return whole.toByteArray()
    }

    /** Forgets the unfinished event, so that the stream can go on from another server. */
    public fun discardPartialEvent() {
        partial.reset()
        lineIsEmpty = true
    }

    private fun finish(whole: ByteArrayOutputStream) {
        val event = partial.toByteArray()
        partial.reset()
        val id = idOf(event)
        val last = lastId
        if (id != null && last != null && id <= last) return
        if (id != null) lastId = id
        whole.write(event)
    }

    private fun idOf(event: ByteArray): Long? =
        event
            .decodeToString()
            .lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.substring(ID_FIELD.length)
            ?.trim()
            ?.toLongOrNull()

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
