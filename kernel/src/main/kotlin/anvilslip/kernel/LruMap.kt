package anvilslip.kernel

/** A map of at most [maxSize] entries that evicts the least recently used one. Reading an entry counts as a use. Not thread-safe. */
public class LruMap<K : Any, V : Any>(
    private val maxSize: Int,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > maxSize

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
