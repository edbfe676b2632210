package anvilslip.gateway

/**
 * State of a leader in its current term. It is kept while the leader lease of the term has lapsed, since no other leader can have
 * decided in between unless a later term has begun. Thread-safe.
 */
internal class TermState<T : Any> {
    private class Entry<T>(
        val term: Long,
        val state: T,
    )

    @Volatile
    private var entry: Entry<T>? = null

    /** Returns the state of [term], created by [create] if this instance has not led in it before. */
    fun of(
        term: Long,
        create: () -> T,
    ): T {
        find(term)?.let { return it }
        return synchronized(this) { find(term) ?: create().also { entry = Entry(term, it) } }
    }

    /** Returns the state of [term], or null if this instance has not led in it. */
    fun find(term: Long): T? = entry?.takeIf { it.term == term }?.state
}
