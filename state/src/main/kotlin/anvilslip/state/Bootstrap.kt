package anvilslip.state

/** Decides when to start the first log: the member whose name sorts first starts it once no member has stored state. */
internal class Bootstrap(
    private val id: ReplicaId,
    private val members: Set<String>,
) {
    private val blankPeers = mutableSetOf<ReplicaId>()

    /** True when this replica is the only member. */
    val isAlone: Boolean get() = members == setOf(id.instance)

    /** Records whether [from] is [uninitialized]; returns the initial voters if this replica must start the log now. */
    fun recordReply(
        from: ReplicaId,
        uninitialized: Boolean,
    ): Set<ReplicaId>? {
        blankPeers.removeAll { it.instance == from.instance }
        if (uninitialized) blankPeers += from
        val all = blankPeers + id
        return all.takeIf { id.instance == members.min() && all.map { each -> each.instance }.toSet() == members }
    }
}
