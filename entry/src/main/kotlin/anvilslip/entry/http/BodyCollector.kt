package anvilslip.entry.http

/**
 * Collects the parts of a body that are counted in [memory]. Small parts are copied into larger ones, since each takes memory beside its
 * bytes. Not thread-safe.
 */
internal class BodyCollector(
    private val memory: AnswerMemory,
) {
    private val parts = ArrayList<ByteArray>()

    /** The part that small ones are copied into, and the bytes of it that are in use. */
    private var openPart = EMPTY
    private var openSize = 0

    /** Memory that the parts take in the account. */
    private var countedBytes = 0L

    /** Bytes collected. */
    var size = 0
        private set

    /** Memory to reserve before [bytes] are added, beside that which is counted for them already. */
    fun memoryToAdd(bytes: ByteArray): Int =
        if (isOwnPart(bytes) || bytes.size <= openPart.size - openSize) 0 else HttpClientResponse.memoryOf(openLength(bytes))

    /** Adds [bytes], whose memory is already counted as [counted]. */
    fun add(
        bytes: ByteArray,
        counted: Int,
    ) {
        if (isOwnPart(bytes)) {
            closeOpenPart()
            parts += bytes
            countedBytes += counted
        } else {
            copy(bytes)
            memory.release(counted)
        }
        size += bytes.size
    }

    private fun copy(bytes: ByteArray) {
        if (bytes.size > openPart.size - openSize) {
            closeOpenPart()
            openPart = ByteArray(openLength(bytes))
            countedBytes += HttpClientResponse.memoryOf(openPart.size)
        }
        bytes.copyInto(openPart, openSize)
        openSize += bytes.size
    }

    private fun isOwnPart(bytes: ByteArray) = bytes.size >= OWN_PART_BYTES || size == 0

    private fun openLength(bytes: ByteArray) = size.coerceIn(bytes.size, OPEN_PART_BYTES)

    private fun closeOpenPart() {
        if (openSize > 0) parts += if (openSize < openPart.size) openPart.copyOf(openSize) else openPart
        openPart = EMPTY
        openSize = 0
    }

    /** Returns the body; its memory no longer counts for the answer, but for what is returned. */
    fun take(): ReceivedBody {
        closeOpenPart()
        return ReceivedBody(parts.toList(), memory.split(countedBytes)).also { clear() }
    }

    /** Drops what was collected. */
    fun clear() {
        parts.clear()
        openPart = EMPTY
        openSize = 0
        countedBytes = 0
        size = 0
    }

    private companion object {
        val EMPTY = ByteArray(0)

        /** Parts of this size are kept as they are. */
        const val OWN_PART_BYTES = 2 * 1024
        const val OPEN_PART_BYTES = 8 * 1024
    }
}
