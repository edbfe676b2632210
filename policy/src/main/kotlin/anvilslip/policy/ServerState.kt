package anvilslip.policy

import kotlin.time.Duration

/** State of one model engine known to the leader. */
internal class ServerState(
    var announcement: Announcement,
    var lastAnnouncedAt: Duration,
) {
    private class UseLease(
        val number: Long,
        var expiresAt: Duration,
        var inFlight: Int = 0,
        var placements: Long = 0,
    )

    private val uses = HashMap<AdapterVersion, HashMap<String, UseLease>>()

    /** Loaded adapter versions, from the latest announcement and the orders since. */
    val loaded: Set<AdapterVersion> get() = loadedSince.keys

    /** Time at which each loaded adapter version was recorded. */
    val loadedSince = LinkedHashMap<AdapterVersion, Duration>()

    /** The load in progress; at most one per server. */
    var loading: AdapterVersion? = null

    /** Fingerprints of suspects placed here, with the time until which other suspects are kept away. */
    val suspects = HashMap<String, Duration>()

    val name: String get() = announcement.server
    val freeSlots: Int get() = announcement.slots - loaded.size - (if (loading != null) 1 else 0)

    /** Requests in flight from all instances. */
    val inFlight: Int get() = uses.values.sumOf { byInstance -> byInstance.values.sumOf { it.inFlight } }

    /** Requests in flight relative to the batch size; 1 is a full batch. */
    val batchLoad: Double get() = inFlight.toDouble() / maxOf(1, announcement.batch)

    /** Renews the lease of [instance]. Ends it if the instance released it and no placement is still on its way. */
    fun renew(
        instance: String,
        use: AdapterUse,
        expiresAt: Duration,
        nextNumber: () -> Long,
    ) {
        val lease = lease(instance, use.adapter, expiresAt, nextNumber)
        lease.inFlight = use.inFlight
        val hasSeenAllPlacements = use.lease == lease.number && use.placements >= lease.placements
        if (use.released && use.inFlight == 0 && hasSeenAllPlacements) uses[use.adapter]?.remove(instance)
    }

    /** Grants [instance] a lease for one request, counts the request before the instance reports it, and returns the lease number. */
    fun grantLease(
        instance: String,
        adapter: AdapterVersion,
        expiresAt: Duration,
        nextNumber: () -> Long,
    ): Long {
        val lease = lease(instance, adapter, expiresAt, nextNumber)
        lease.inFlight++
        lease.placements++
        return lease.number
    }

    private fun lease(
        instance: String,
        adapter: AdapterVersion,
        expiresAt: Duration,
        nextNumber: () -> Long,
    ): UseLease {
        val lease = uses.getOrPut(adapter) { HashMap() }.getOrPut(instance) { UseLease(nextNumber(), expiresAt) }
        lease.expiresAt = maxOf(lease.expiresAt, expiresAt)
        return lease
    }

    /** Removes expired leases. A lease with requests in flight is kept until the server announces that the adapter is idle. */
    fun expire(now: Duration) {
        for ((adapter, byInstance) in uses) {
            val idle = (announcement.running[adapter] ?: 0) == 0
            byInstance.values.removeAll { now >= it.expiresAt && (it.inFlight == 0 || (idle && lastAnnouncedAt > it.expiresAt)) }
        }
        uses.values.removeAll { it.isEmpty() }
        suspects.values.removeAll { now >= it }
    }

    fun isUsed(adapter: AdapterVersion): Boolean = uses[adapter].orEmpty().isNotEmpty() || (announcement.running[adapter] ?: 0) > 0

    /** Returns true if [request] may run here: not on a leaving or excluded server, and suspects only apart from other suspects. */
    fun accepts(request: PlacementRequest): Boolean {
        val isSeparate = suspects.keys.none { it != request.suspect }
        val mayRun = request.suspect == null || isSeparate
        return !announcement.leaving && name !in request.exclude && mayRun
    }

    /** Cost of running [request] here, relative to other servers: the batch load, and more in another zone. */
    fun costOf(request: PlacementRequest): Double {
        val away = if (request.zone != null && request.zone != announcement.zone) OTHER_ZONE_COST else 0.0
        return batchLoad + away
    }

    private companion object {
        const val OTHER_ZONE_COST = 0.1
    }
}
