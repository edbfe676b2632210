package anvilslip.entry.http

/**
 * Bounds the memory of the bytes of a response that were received and not read yet: [setReading] pauses the connection while they take too
 * much. Thread-safe.
 */
internal class ReceiveWindow(
    private val setReading: (Boolean) -> Unit,
) {
    private var unread = 0
    private var isPaused = false

    @Synchronized
    fun onReceived(bytes: Int) {
        unread += bytes
        if (!isPaused && unread > MAX_UNREAD_BYTES) pause(true)
    }

    @Synchronized
    fun onRead(bytes: Int) {
        unread -= bytes
        if (isPaused && unread <= MAX_UNREAD_BYTES / 2) pause(false)
    }

    private fun pause(paused: Boolean) {
        isPaused = paused
        setReading(!paused)
    }

    private companion object {
        const val MAX_UNREAD_BYTES = 256 * 1024
    }
}
