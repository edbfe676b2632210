package anvilslip.state

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/** A persistent first-in, first-out queue with constant-time access to its oldest item. */
@Serializable
public data class ExpiryQueue<T>(
    private val head: Long = 0,
    private val tail: Long = 0,
    private val items: SerializablePersistentMap<Long, T> = persistentMapOf(),
) {
    public val size: Int get() = items.size

    /** Returns the oldest item, or null if the queue is empty. */
    public fun oldest(): T? = items[head]

    /** Returns a queue with [item] appended. */
    public fun plus(item: T): ExpiryQueue<T> = copy(tail = tail + 1, items = items.put(tail, item))

    /** Returns a queue without the oldest item. */
    public fun dropOldest(): ExpiryQueue<T> = if (items.isEmpty()) this else copy(head = head + 1, items = items.remove(head))
}
