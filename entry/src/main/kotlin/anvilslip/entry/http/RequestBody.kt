package anvilslip.entry.http

import io.netty.buffer.ByteBuf

/** The body of one request, whose memory counts against [budget] until [release]. Not thread-safe, except for [release]. */
internal class RequestBody(
    private val budget: BodyBudget,
    private val maxBytes: Int,
) {
    private var bytes = EMPTY
    private var size = 0
    private var isReleased = false

    /** Makes room for a body of [length] bytes; returns false if the budget does not allow that. */
    fun reserve(length: Int): Boolean {
        if (length <= bytes.size) return true
        if (!budget.tryReserve(length - bytes.size, length)) return false
        bytes = bytes.copyOf(length)
        return true
    }

    /** True if the body has at most [maxBytes] with [content]. */
    fun canHold(content: ByteBuf): Boolean = content.readableBytes() <= maxBytes - size

    /** Appends [content]; returns false if the budget does not allow that. */
    fun append(content: ByteBuf): Boolean {
        val length = size + content.readableBytes()
        // A body of unknown length grows by doubling, so that it is not copied with each part.
        if (length > bytes.size && !reserve(maxOf(length, minOf(bytes.size.toLong() * 2, maxBytes.toLong()).toInt()))) return false
        content.readBytes(bytes, size, length - size)
        size = length
        return true
    }

    /** Returns the bytes received, without a copy if the length was known. */
    fun complete(): ByteArray {
        if (size < bytes.size) {
            budget.release(bytes.size - size)
            bytes = bytes.copyOf(size)
        }
        return bytes
    }

    /** Returns the memory to the budget; does nothing the second time. */
    @Synchronized
    fun release() {
        if (isReleased) return
        isReleased = true
        budget.release(bytes.size)
        bytes = EMPTY
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
