package anvilslip.entry.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the memory of the request bodies of one or more servers. A body counts from the start of its request until the request is
 * answered. Small bodies may use all of the budget and larger ones three quarters, so that a few large requests do not keep out the many
 * small ones. Thread-safe.
 *
 * @param capacityBytes size of all bodies together
 */
public class BodyBudget(
    private val capacityBytes: Long = DEFAULT_CAPACITY_BYTES,
) {
    private val reserved = AtomicLong()

    /** Size of all bodies at present, in bytes. */
    public val reservedBytes: Long get() = reserved.get()

    /** Adds [bytes] for a body that has [totalBytes] with them; returns false, and adds nothing, if that is too much. */
    internal fun tryReserve(
        bytes: Int,
        totalBytes: Int,
    ): Boolean {
        val limit = if (totalBytes <= SMALL_BODY_BYTES) capacityBytes else capacityBytes - capacityBytes / SMALL_BODY_SHARE
        while (true) {
            val before = reserved.get()
            if (bytes > 0 && before + bytes > limit) return false
            if (reserved.compareAndSet(before, before + bytes)) return true
        }
    }

    internal fun release(bytes: Int) {
        reserved.addAndGet(-bytes.toLong())
    }

    public companion object {
        /** Default size of all bodies together, in bytes. */
        public const val DEFAULT_CAPACITY_BYTES: Long = 24L * 1024 * 1024
        private const val SMALL_BODY_BYTES = 64 * 1024

        /** One part in this many is kept for small bodies. */
        private const val SMALL_BODY_SHARE = 4
    }
}
