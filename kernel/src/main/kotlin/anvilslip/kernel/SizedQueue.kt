package anvilslip.kernel

import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicLong

/**
 * A queue between coroutines that is bounded by the number of its elements and by their total size. An element that is larger than the
 * size limit is accepted while no other one is queued, so that it is delayed but not blocked forever.
 *
 * @param sizeOf returns the size of an element in bytes; must return the same value for the same element each time
 */
public class SizedQueue<T : Any>(
    capacity: Int,
    private val capacityBytes: Long,
    private val sizeOf: (T) -> Int,
) {
    private val channel: Channel<T> = Channel(capacity, onUndeliveredElement = ::release)
    private val queued = AtomicLong()

    /** Total size of the queued elements in bytes. */
    public val queuedBytes: Long get() = queued.get()

    /** Adds [element]; returns false if the queue is full. */
    public fun trySend(element: T): Boolean {
        val size = sizeOf(element).toLong()
        val total = queued.addAndGet(size)
        val fits = total <= capacityBytes || total == size
        if (fits && channel.trySend(element).isSuccess) return true
        queued.addAndGet(-size)
        return false
    }

    /** Removes the first element; waits for one if the queue is empty. */
    public suspend fun receive(): T = channel.receive().also(::release)

    /** Removes the first element, or returns null if the queue is empty. */
    public fun tryReceive(): T? = channel.tryReceive().getOrNull()?.also(::release)

    private fun release(element: T) {
        queued.addAndGet(-sizeOf(element).toLong())
    }
}
