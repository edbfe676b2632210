package anvilslip.state

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/** An immutable queue with constant-time access to its oldest item. */
@Serializable
public data class ExpiryQueue<T>(
    private val head: Long = 0,
    private val tail: Long = 0,
    private val items: SerializablePersistentMap<Long, T> = persistentMapOf(),
) {
    /** Number of items. */
    public val size: Int get() = items.size

    /** The oldest item, or null when empty. */
    public fun oldest(): T? = items[head]

    /** The queue with [item] as its newest. */
    public fun plus(item: T): ExpiryQueue<T> = copy(tail = tail + 1, items = items.put(tail, item))

    /** The queue without its oldest item. */
    public fun dropOldest(): ExpiryQueue<T> = if (items.isEmpty()) this else copy(head = head + 1, items = items.remove(head))
}
