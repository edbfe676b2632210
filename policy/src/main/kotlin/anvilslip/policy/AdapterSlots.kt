package anvilslip.policy

/** The occupied adapter slots of an engine, in the order in which they were taken. */
internal class AdapterSlots {
    private val byAdapter = HashMap<String, AdapterSlot>()

    /** The same slots as a list, since each decision reads the slots of every engine and an iterator each would be garbage. */
    private val list = ArrayList<AdapterSlot>()

    val size: Int get() = list.size

    operator fun get(index: Int): AdapterSlot = list[index]

    operator fun get(adapter: String): AdapterSlot? = byAdapter[adapter]

    operator fun contains(adapter: String): Boolean = adapter in byAdapter

    fun getValue(adapter: String): AdapterSlot = byAdapter.getValue(adapter)

    /** Returns the slot of [adapter], which [create] takes if there is none. */
    inline fun getOrPut(
        adapter: String,
        create: () -> AdapterSlot,
    ): AdapterSlot = this[adapter] ?: create().also { add(it) }

    fun add(slot: AdapterSlot) {
        byAdapter[slot.adapter] = slot
        list += slot
    }

    fun remove(adapter: String) {
        byAdapter.remove(adapter)?.let { list.remove(it) }
    }

    /** Removes the slots that match [predicate]. */
    fun removeAll(predicate: (AdapterSlot) -> Boolean) {
        byAdapter.values.removeAll(predicate)
        list.removeAll(predicate)
    }

    fun clear() {
        byAdapter.clear()
        list.clear()
    }

    /** Number of slots that match [predicate]. */
    inline fun count(predicate: (AdapterSlot) -> Boolean): Int {
        var count = 0
        for (i in 0 until size) if (predicate(this[i])) count++
        return count
    }
}
