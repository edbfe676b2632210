package anvilslip.gateway

/**
 * Chooses the control instance from which an entry instance takes configuration documents: one of its own zone if any is reachable,
 * otherwise the one that has been reachable for longest. Thread-safe.
 */
internal class DocumentSource(
    private val zones: PeerZones,
    private val ownZone: () -> String?,
) {
    private val reachable = LinkedHashSet<String>()

    /** The preferred control instance; null while none is reachable, and on an instance without a zone of its own. */
    val preferred: String?
        @Synchronized get() = ownZone()?.let { zone -> reachable.firstOrNull { zones[it] == zone } ?: reachable.firstOrNull() }

    /** Records whether [control] answered the last poll. */
    @Synchronized
    fun recordPoll(
        control: String,
        isAnswered: Boolean,
    ) {
        if (isAnswered) reachable += control else reachable -= control
    }
}
