package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Evidence on requests that may crash backend servers. A request has several keys: one of its own and those of properties that it shares
 * with others. All keys of the requests that were running on a server when it crashed are suspects, and most of them are innocent. A
 * suspect that is served is cleared of all crashes known so far; one under which [MAX_CRASHES] servers have crashed since is
 * quarantined. A quarantined key explains its crashes: they no longer count against keys under which fewer servers crashed.
 *
 * Instances exchange [SuspectReport]s. Tables merge them in any order, repeatedly, with the same result, so each instance can decide
 * by itself. Suspects are forgotten once no such request has been seen for a while. Not thread-safe.
 */
public class SuspectTable {
    private class Suspect(
        val crashes: Set<String>,
        val cleared: Set<String>,
        val seenAt: Duration,
        /** True if the last change was made here rather than reported by another instance. */
        val isLocal: Boolean,
        val revision: Long,
    ) {
        val openCrashes = crashes - cleared
    }

    private val suspects = HashMap<String, Suspect>()

    /** When requests were last served, by key; least recently used first. */
    private val served =
        object : LinkedHashMap<String, Duration>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Duration>): Boolean = size > MAX_SERVED
        }

    /** Increases with each change. */
    public var revision: Long = 0
        private set

    /** Incarnations of the servers whose crashes count against [key]: it has not been cleared of them, and no other key explains them. */
    public fun crashes(key: String): Set<String> {
        val open = suspects[key]?.openCrashes.orEmpty()
        if (open.isEmpty()) return open
        val explanations = suspects.values.filter { it.openCrashes.size >= MAX_CRASHES && it.openCrashes.size > open.size }
        return open - explanations.flatMap { it.openCrashes }.toSet()
    }

    /** True if a server has crashed under a request with [key] and none was served since. */
    public fun isSuspect(key: String): Boolean = crashes(key).isNotEmpty()

    /** True if requests with [key] must not be sent to servers. */
    public fun isQuarantined(key: String): Boolean = crashes(key).size >= MAX_CRASHES

    /** The crashes that count against each quarantined key. */
    public fun quarantines(): Map<String, Set<String>> =
        suspects
            .filterValues { it.openCrashes.size >= MAX_CRASHES }
            .mapValues { (key, _) -> crashes(key) }
            .filterValues { it.size >= MAX_CRASHES }

    /** Records that [server] crashed while it ran a request with [key]; does nothing if such a request was served a moment ago. */
    public fun recordCrash(
        key: String,
        server: String,
        now: Duration,
    ) {
        val known = suspects[key]
        if (wasServedLately(key, now) || known?.crashes.orEmpty().contains(server)) return
        put(key, known?.crashes.orEmpty() + server, known?.cleared.orEmpty(), now, isLocal = true)
        evict(now)
    }

    /** Records that a request with [key] was served, which clears it. */
    public fun recordServed(
        key: String,
        now: Duration,
    ) {
        served[key] = now
        clear(key, now)
    }

    /** Records that a quarantined request with [key] came again, so that it is not forgotten. */
    public fun recordSeen(
        key: String,
        now: Duration,
    ) {
        val known = suspects[key] ?: return
        if (now - known.seenAt >= SEEN_INTERVAL) put(key, known.crashes, known.cleared, now, isLocal = true)
    }

    /** Adds what another instance reports. */
    public fun merge(
        report: SuspectReport,
        now: Duration,
    ) {
        val known = suspects[report.key]
        val crashes = known?.crashes.orEmpty() + report.crashes
        val cleared = known?.cleared.orEmpty() + report.cleared
        val reportedAt = now - report.ageMillis.milliseconds
        val isNewer = known == null || reportedAt - known.seenAt >= SEEN_INTERVAL
        if (!isNewer && crashes == known.crashes && cleared == known.cleared) return
        val seenAt = if (isNewer) reportedAt else known.seenAt
        put(report.key, crashes, cleared, seenAt, isLocal = known?.isLocal == true)
        if (wasServedLately(report.key, now)) clear(report.key, now)
        evict(now)
    }

    /** Reports of the suspects that changed after revision [since]; with [localOnly], only of changes made here. */
    public fun changesSince(
        since: Long,
        localOnly: Boolean,
        now: Duration,
    ): List<SuspectReport> =
        suspects.filterValues { it.revision > since && (it.isLocal || !localOnly) }.map { (key, suspect) ->
            SuspectReport(key, suspect.crashes, suspect.cleared, (now - suspect.seenAt).inWholeMilliseconds)
        }

    private fun wasServedLately(
        key: String,
        now: Duration,
    ): Boolean = served[key]?.let { now - it < SERVED_LATELY } == true

    private fun clear(
        key: String,
        now: Duration,
    ) {
        val known = suspects[key]?.takeIf { it.openCrashes.isNotEmpty() } ?: return
        put(key, known.crashes, known.crashes, now, isLocal = true)
    }

    private fun put(
        key: String,
        crashes: Set<String>,
        cleared: Set<String>,
        seenAt: Duration,
        isLocal: Boolean,
    ) {
        suspects[key] = Suspect(crashes, cleared, seenAt, isLocal, ++revision)
    }

    private fun evict(now: Duration) {
        suspects.values.removeAll { now - it.seenAt > RETENTION }
        if (suspects.size <= MAX_SUSPECTS) return
        val leastSuspect = suspects.entries.minWith(compareBy({ it.value.openCrashes.size }, { it.value.seenAt }))
        suspects.remove(leastSuspect.key)
    }

    public companion object {
        /** Crashes after which a request is quarantined; suspects are kept apart, so an innocent one does not come this far. */
        public const val MAX_CRASHES: Int = 3

        /** A request that crashes servers is never served, so one that was served this recently is innocent. */
        private val SERVED_LATELY = 10.seconds

        /** Interval at which sightings of a quarantined request are reported to other instances. */
        private val SEEN_INTERVAL = 30.seconds
        private val RETENTION = 10.minutes

        /** All requests that were running on a server when it crashed must fit until those that come again have crashed the next one. */
        private const val MAX_SUSPECTS = 4_096
        private const val MAX_SERVED = 2_048
        private const val INITIAL_SIZE = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
