package anvilslip.policy

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events into complete events, each including its terminating blank line, and tracks their IDs.
 * Incomplete events are buffered; events with an ID that was forwarded before are dropped.
 */
public class SseEventBuffer(
    lastId: Long? = null,
) {
    private var partial = ByteArrayOutputStream()
    private var lineIsEmpty = true

    /** ID of the last forwarded event, or null if there was none. */
    public var lastId: Long? = lastId
        private set

    /** Memory that the incomplete event may take, in bytes; the buffer grows by doubling. */
    public val partialBytes: Int get() = partial.size() * 2

    /** True while an incomplete event is buffered. */
    public val hasPartialEvent: Boolean get() = partial.size() > 0

    /** True if the incomplete event is larger than any event may be. */
    public val isOverlong: Boolean get() = partial.size() > MAX_EVENT_BYTES

    /** Appends [bytes] and returns the events that they complete, concatenated. */
    public fun append(bytes: ByteArray): ByteArray {
        val completed = ByteArrayOutputStream()
        for (byte in bytes) {
            partial.write(byte.toInt())
            if (byte == LF) {
                if (lineIsEmpty) completeEvent(completed)
                lineIsEmpty = true
            } else if (byte != CR) {
                lineIsEmpty = false
            }
        }
        return completed.toByteArray()
    }

    /** Discards the buffered incomplete event, so that the stream can be resumed from another server. */
    public fun discardPartialEvent() {
        clearPartial()
        lineIsEmpty = true
    }

    /** A buffer that has grown large is not kept for the small events that follow. */
    private fun clearPartial() {
        if (partial.size() > MAX_KEPT_BYTES) partial = ByteArrayOutputStream() else partial.reset()
    }

    private fun completeEvent(completed: ByteArrayOutputStream) {
        val event = partial.toByteArray()
        clearPartial()
        val id = idOf(event)
        val previousId = lastId
        if (id != null && previousId != null && id <= previousId) return
        if (id != null) lastId = id
        completed.write(event)
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
        const val MAX_EVENT_BYTES = 1024 * 1024
        const val MAX_KEPT_BYTES = 4 * 1024
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
