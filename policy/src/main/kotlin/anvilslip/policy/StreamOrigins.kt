package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The origins of streams, each for as long as its client may resume it. The oldest are evicted beyond [maxStreams]; a stream whose origin
 * is not known any more cannot be resumed. Not thread-safe.
 */
public class StreamOrigins(
    private val maxStreams: Int = MAX_STREAMS,
) {
    private class Entry(
        val origin: StreamOrigin,
        val expiresAt: Duration,
    )

    private val entries = LinkedHashMap<String, Entry>()

    /** Records [record]. The origin of a stream never changes, so the first record of an attempt counts. */
    public fun record(
        record: StreamRecord,
        now: Duration,
    ) {
        evict(now)
        val expiresAt = now + minOf(record.remainingMillis.milliseconds, MAX_LIFETIME)
        entries.putIfAbsent(record.attemptId, Entry(record.origin, expiresAt))
    }

    /** Returns the origin of the stream whose first event the attempt [attemptId] delivered, or null if it is not known. */
    public fun find(
        attemptId: String,
        now: Duration,
    ): StreamOrigin? = entries[attemptId]?.takeIf { now < it.expiresAt }?.origin

    /** Returns the records of all streams that may still be resumed. */
    public fun unexpired(now: Duration): List<StreamRecord> =
        entries.filterValues { now < it.expiresAt }.map { (attemptId, entry) ->
            StreamRecord(attemptId, entry.origin, (entry.expiresAt - now).inWholeMilliseconds)
        }

    private fun evict(now: Duration) {
        while (entries.isNotEmpty()) {
            val eldest = entries.entries.first()
            if (entries.size < maxStreams && now < eldest.value.expiresAt) return
            entries.remove(eldest.key)
        }
    }

    private companion object {
        const val MAX_STREAMS = 65_536

        /** Bounds what a client may claim. */
        val MAX_LIFETIME = 60.seconds
    }
}
