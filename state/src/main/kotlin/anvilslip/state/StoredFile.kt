package anvilslip.state

import java.io.EOFException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel

/** Reads a file from its start to its end through [buffer], whatever the file's size. */
internal class StoredFile(
    private val channel: FileChannel,
    private val buffer: ByteBuffer,
) {
    private val size = channel.size()

    /** Position of the next byte in the file. */
    var position: Long = 0
        private set

    /** Number of bytes from [position] to the end of the file. */
    val remaining: Long get() = size - position

    init {
        buffer.clear().limit(0)
    }

    /** Reads the next [length] bytes, of which there must be as many. */
    fun read(length: Int): ByteArray {
        val bytes = ByteArray(length)
        var start = 0
        while (start < length) {
            fillIfEmpty()
            val count = minOf(buffer.remaining(), length - start)
            buffer.get(bytes, start, count)
            start += count
            position += count
        }
        return bytes
    }

    /** Reads the rest of the file; returns true if all of it is zero. */
    fun isZeroToEnd(): Boolean {
        while (remaining > 0) {
            fillIfEmpty()
            position++
            if (buffer.get() != 0.toByte()) return false
        }
        return true
    }

    private fun fillIfEmpty() {
        if (buffer.hasRemaining()) return
        buffer.clear()
        val count = channel.read(buffer)
        buffer.flip()
        if (count <= 0) throw EOFException("the file ended at byte $position of $size while it was read")
    }
}
