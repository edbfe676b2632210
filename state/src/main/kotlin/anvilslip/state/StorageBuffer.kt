package anvilslip.state

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/**
 * The direct buffer through which all stored files are read and written. Without it, the JDK allocates a direct buffer as large as each
 * single transfer and keeps one in each thread that made a transfer, so that the size of a file is limited by the direct memory.
 *
 * Not thread-safe; one file at a time.
 */
internal class StorageBuffer(
    capacityBytes: Int = CAPACITY_BYTES,
) {
    private val buffer = ByteBuffer.allocateDirect(capacityBytes)

    /**
     * Appends [parts] to [channel] and calls [sync] after each write. No write starts before the previous one is durable, so that after
     * a power loss only a prefix of the data can be in the file.
     */
    fun append(
        channel: FileChannel,
        parts: Sequence<ByteArray>,
        sync: () -> Unit,
    ) {
        buffer.clear()
        for (part in parts) {
            var start = 0
            while (start < part.size) {
                if (!buffer.hasRemaining()) flush(channel, sync)
                val length = minOf(buffer.remaining(), part.size - start)
                buffer.put(part, start, length)
                start += length
            }
        }
        if (buffer.position() > 0) flush(channel, sync)
    }

    /** Opens the file at [path] and passes its content to [action]. */
    fun <T> read(
        path: Path,
        action: (StoredFile) -> T,
    ): T = FileChannel.open(path, StandardOpenOption.READ).use { action(StoredFile(it, buffer)) }

    private fun flush(
        channel: FileChannel,
        sync: () -> Unit,
    ) {
        buffer.flip()
        while (buffer.hasRemaining()) channel.write(buffer)
        buffer.clear()
        sync()
    }

    private companion object {
        const val CAPACITY_BYTES = 1024 * 1024
    }
}
