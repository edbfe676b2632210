package anvilslip.control

import anvilslip.policy.AdapterUse
import anvilslip.policy.AdapterVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The use leases held by this instance. While an instance holds a use lease, the leader does not evict the adapter from the server.
 * Thread-safe.
 *
 * @param leaseTime how long the leader keeps a lease after granting or renewing it
 */
public class UseLeaseTable(
    private val leaseTime: Duration,
) {
    private data class Key(
        val server: String,
        val adapter: AdapterVersion,
    )

    private class Entry(
        var expiresAt: Duration,
        var inFlight: Int = 0,
        var lease: Long = 0,
        var placements: Long = 0,
        var started: Int = 0,
        var lastUsedAt: Duration,
        var releasing: Boolean = false,
    ) {
        /** Counts a placement under lease number [leaseNumber]; the count restarts with each newer lease. */
        fun countPlacement(leaseNumber: Long) {
            if (leaseNumber > lease) placements = 0
            lease = maxOf(lease, leaseNumber)
            if (leaseNumber == lease) placements++
        }
    }

    private val entries = HashMap<Key, Entry>()
    private var term = 0L

    /**
     * Records a placement by the leader of [leaderTerm] under use lease number [lease], and counts one request as started under it.
     * The placement was decided no earlier than [decidedAt], from which the lease time counts.
     */
    @Synchronized
    public fun recordPlacement(
        server: String,
        adapter: AdapterVersion,
        leaderTerm: Long,
        lease: Long,
        decidedAt: Duration,
        now: Duration,
    ) {
        enterTerm(leaderTerm)
        val entry = entries.getOrPut(Key(server, adapter)) { Entry(decidedAt + leaseTime, lastUsedAt = now) }
        entry.expiresAt = maxOf(entry.expiresAt, decidedAt + leaseTime)
        entry.releasing = false
        if (leaderTerm == term) entry.countPlacement(lease)
        entry.inFlight++
        entry.lastUsedAt = now
    }

    /**
     * Starts a request on the least loaded server on which this instance holds a use lease for [adapter]. Returns the server, or
     * null when there is none.
     *
     * @param load the load of a server, given the requests in flight there from this instance; null excludes the server
     */
    @Synchronized
    public fun startRequest(
        adapter: AdapterVersion,
        now: Duration,
        load: (server: String, ownInFlight: Int) -> Double?,
    ): String? {
        val usable = entries.filter { (key, entry) -> key.adapter == adapter && !entry.releasing && now < entry.expiresAt - START_MARGIN }
        val best =
            usable
                .mapNotNull { (key, entry) -> load(key.server, inFlightOn(key.server))?.let { Triple(key, entry, it) } }
                .minByOrNull { it.third } ?: return null
        best.second.inFlight++
        best.second.started++
        best.second.lastUsedAt = now
        return best.first.server
    }

    /** Records the end of a request counted by [recordPlacement] or [startRequest]. */
    @Synchronized
    public fun finishRequest(
        server: String,
        adapter: AdapterVersion,
        now: Duration,
    ) {
        val entry = entries[Key(server, adapter)] ?: return
        entry.inFlight--
        entry.lastUsedAt = now
    }

    /** True while the lease on [adapter] at [server] is valid, so requests may be sent there. */
    @Synchronized
    public fun holds(
        server: String,
        adapter: AdapterVersion,
        now: Duration,
    ): Boolean = entries[Key(server, adapter)]?.let { now < it.expiresAt } ?: false

    /** Ends the lease on [adapter] at once, after [server] answered that it does not hold it. */
    @Synchronized
    public fun invalidate(
        server: String,
        adapter: AdapterVersion,
    ) {
        entries[Key(server, adapter)]?.expiresAt = Duration.ZERO
    }

    /** True when this instance holds no use lease. */
    public val isEmpty: Boolean
        @Synchronized get() = entries.isEmpty()

    /** Creates the report of all leases for the leader. Leases idle for longer than [IDLE_BEFORE_RELEASE] are marked as released in it. */
    @Synchronized
    public fun createReport(now: Duration): List<AdapterUse> {
        entries.values.removeAll { it.inFlight <= 0 && now > it.expiresAt + leaseTime }
        return entries.map { (key, entry) ->
            if (entry.inFlight <= 0 && now - entry.lastUsedAt > IDLE_BEFORE_RELEASE) entry.releasing = true
            val started = entry.started
            entry.started = 0
            AdapterUse(key.server, key.adapter, entry.inFlight, entry.placements, entry.lease, started, entry.releasing)
        }
    }

    /** Renews the leases in [report], sent at [sentAt] and applied by the leader of [leaderTerm]; removes those released with it. */
    @Synchronized
    public fun renew(
        report: List<AdapterUse>,
        leaderTerm: Long,
        sentAt: Duration,
    ) {
        enterTerm(leaderTerm)
        for (use in report) {
            val key = Key(use.server, use.adapter)
            val entry = entries[key] ?: continue
            if (entry.releasing &&
                use.released
            ) {
                entries.remove(key)
            } else if (entry.expiresAt > Duration.ZERO) {
                entry.expiresAt = maxOf(entry.expiresAt, sentAt + leaseTime)
            }
        }
    }

    /** Number of requests in flight from this instance at [server]. */
    @Synchronized
    public fun inFlightOn(server: String): Int = entries.filterKeys { it.server == server }.values.sumOf { it.inFlight }

    /** Resets lease numbers and placement counts when [leaderTerm] is new: each leader numbers its leases anew. */
    private fun enterTerm(leaderTerm: Long) {
        if (leaderTerm <= term) return
        term = leaderTerm
        for (entry in entries.values) {
            entry.lease = 0
            entry.placements = 0
        }
    }

    private companion object {
        /** No request is started when its lease expires within this time. */
        val START_MARGIN = 200.milliseconds

        /** A lease without requests is released after this time. */
        val IDLE_BEFORE_RELEASE = 1000.milliseconds
    }
}
