package anvilslip.policy

import kotlin.time.Duration

/** One model engine as the leader sees it. */
internal class ServerState(
    var announcement: Announcement,
    var heardAt: Duration,
) {
    private class UseLease(
        val number: Long,
        var until: Duration,
        var inFlight: Int = 0,
        var placements: Long = 0,
    )

    private val uses = HashMap<AdapterVersion, HashMap<String, UseLease>>()

    /** Adapter versions loaded, by the latest word of the server and the orders since. */
    val loaded: Set<AdapterVersion> get() = heldSince.keys

    /** When each loaded adapter version came to be known. */
    val heldSince = LinkedHashMap<AdapterVersion, Duration>()

    /** The load under way, one at a time for each server. */
    var loading: AdapterVersion? = null

    /** Suspects that run here, with the time until which they are held apart. */
    val suspects = HashMap<String, Duration>()

    val name: String get() = announcement.server
    val freeSlots: Int get() = announcement.slots - loaded.size - (if (loading != null) 1 else 0)

    /** Requests in flight from all instances. */
    val inFlight: Int get() = uses.values.sumOf { byInstance -> byInstance.values.sumOf { it.inFlight } }

    /** Requests in flight in batches: 1 is a full batch. */
    val fill: Double get() = inFlight.toDouble() / maxOf(1, announcement.batch)

    /** Renews the lease of [instance], or ends it when it is released and no decision is on its way. */
    fun renew(
        instance: String,
        use: AdapterUse,
        until: Duration,
        nextNumber: () -> Long,
    ) {
        val lease = lease(instance, use.adapter, until, nextNumber)
        lease.inFlight = use.inFlight
        val seenAll = use.lease == lease.number && use.placements >= lease.placements
        if (use.released && use.inFlight == 0 && seenAll) uses[use.adapter]?.remove(instance)
    }

    /** Gives [instance] a lease for a request, counted before the instance reports it, and returns its number. */
    fun place(
        instance: String,
        adapter: AdapterVersion,
        until: Duration,
        nextNumber: () -> Long,
    ): Long {
        val lease = lease(instance, adapter, until, nextNumber)
        lease.inFlight++
        lease.placements++
        return lease.number
    }

    private fun lease(
        instance: String,
        adapter: AdapterVersion,
        until: Duration,
        nextNumber: () -> Long,
    ): UseLease {
        val lease = uses.getOrPut(adapter) { HashMap() }.getOrPut(instance) { UseLease(nextNumber(), until) }
        lease.until = maxOf(lease.until, until)
        return lease
    }

    /** Forgets expired leases; one with requests in flight stands until the server itself says that the adapter is idle. */
    fun expire(now: Duration) {
        for ((adapter, byInstance) in uses) {
            val idle = (announcement.running[adapter] ?: 0) == 0
            byInstance.values.removeAll { now >= it.until && (it.inFlight == 0 || (idle && heardAt > it.until)) }
        }
        uses.values.removeAll { it.isEmpty() }
        suspects.values.removeAll { now >= it }
    }

    fun isUsed(adapter: AdapterVersion): Boolean = uses[adapter].orEmpty().isNotEmpty() || (announcement.running[adapter] ?: 0) > 0
}
