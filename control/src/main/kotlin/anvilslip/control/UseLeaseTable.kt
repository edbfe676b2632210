package anvilslip.control

import anvilslip.policy.AdapterVersion
import anvilslip.policy.AdapterUse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The use leases that this instance holds: which adapters stay on which servers while it uses them. Thread-safe.
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
        var until: Duration,
        var inFlight: Int = 0,
        var lease: Long = 0,
        var placements: Long = 0,
        var started: Int = 0,
        var lastUse: Duration,
        var releasing: Boolean = false,
    ) {
        fun count(number: Long) {
            if (number > lease) placements = 0
            lease = maxOf(lease, number)
            if (number == lease) placements++
        }
    }

    private val entries = HashMap<Key, Entry>()
    private var term = 0L

    /** Takes in a decision of the leader of [leaderTerm], under its use lease [lease], made no earlier than [decidedAt], and starts a request under it. */
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
        val entry = entries.getOrPut(Key(server, adapter)) { Entry(decidedAt + leaseTime, lastUse = now) }
        entry.until = maxOf(entry.until, decidedAt + leaseTime)
        entry.releasing = false
        if (leaderTerm == term) entry.count(lease)
        entry.inFlight++
        entry.lastUse = now
    }

    /** Starts a request on the server with the least [load] that holds [adapter] under a lease and is not excluded; null when there is none. */
    @Synchronized
    public fun startRequest(
        adapter: AdapterVersion,
        now: Duration,
        load: (server: String, ownInFlight: Int) -> Double?,
    ): String? {
        val usable = entries.filter { (key, entry) -> key.adapter == adapter && !entry.releasing && now < entry.until - MARGIN }
        val best =
            usable
                .mapNotNull { (key, entry) -> load(key.server, inFlightOn(key.server))?.let { Triple(key, entry, it) } }
                .minByOrNull { it.third } ?: return null
        best.second.inFlight++
        best.second.started++
        best.second.lastUse = now
        return best.first.server
    }

    /** Ends a request. */
    @Synchronized
    public fun finishRequest(
        server: String,
        adapter: AdapterVersion,
        now: Duration,
    ) {
        val entry = entries[Key(server, adapter)] ?: return
        entry.inFlight--
        entry.lastUse = now
    }

    /** True while requests may be sent to [server] for [adapter]. */
    @Synchronized
    public fun holds(
        server: String,
        adapter: AdapterVersion,
        now: Duration,
    ): Boolean = entries[Key(server, adapter)]?.let { now < it.until } ?: false

    /** Forgets a lease on an adapter that turned out not to be there. */
    @Synchronized
    public fun invalidate(
        server: String,
        adapter: AdapterVersion,
    ) {
        entries[Key(server, adapter)]?.until = Duration.ZERO
    }

    /** True when this instance uses no adapter. */
    public val isEmpty: Boolean
        @Synchronized get() = entries.isEmpty()

    /** What to report; leases idle for long enough are released with it. */
    @Synchronized
    public fun createReport(now: Duration): List<AdapterUse> {
        entries.values.removeAll { it.inFlight <= 0 && now > it.until + leaseTime }
        return entries.map { (key, entry) ->
            if (entry.inFlight <= 0 && now - entry.lastUse > IDLE_BEFORE_RELEASE) entry.releasing = true
            val started = entry.started
            entry.started = 0
            AdapterUse(key.server, key.adapter, entry.inFlight, entry.placements, entry.lease, started, entry.releasing)
        }
    }

    /** The leader of [leaderTerm] has taken in [report], sent at [sentAt]. */
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
            } else if (entry.until > Duration.ZERO) {
                entry.until = maxOf(entry.until, sentAt + leaseTime)
            }
        }
    }

    /** Requests in flight from this instance by server. */
    @Synchronized
    public fun inFlightOn(server: String): Int = entries.filterKeys { it.server == server }.values.sumOf { it.inFlight }

    private fun enterTerm(leaderTerm: Long) {
        if (leaderTerm <= term) return
        term = leaderTerm
        for (entry in entries.values) {
            entry.lease = 0
            entry.placements = 0
        }
    }

    private companion object {
        /** A request is not started so shortly before its lease ends. */
        val MARGIN = 200.milliseconds
        val IDLE_BEFORE_RELEASE = 1000.milliseconds
    }
}
