package anvilslip.state

/** How the first replicas come to a log: the one with the least name founds it once every member is there and none has state. */
internal class Bootstrap(
    private val id: ReplicaId,
    private val members: Set<String>,
) {
    private val blankPeers = mutableSetOf<ReplicaId>()

    /** True when this replica is the only member. */
    val isAlone: Boolean get() = members == setOf(id.instance)

    /** Takes in whether [from] is [blank]; returns the founders when this replica is to found the log with them. */
    fun take(
        from: ReplicaId,
        blank: Boolean,
    ): Set<ReplicaId>? {
        blankPeers.removeAll { it.instance == from.instance }
        if (blank) blankPeers += from
        val all = blankPeers + id
        return all.takeIf { id.instance == members.min() && all.map { each -> each.instance }.toSet() == members }
    }
}
