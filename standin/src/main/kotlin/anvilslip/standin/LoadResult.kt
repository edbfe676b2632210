package anvilslip.standin

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Outcome counts and latencies of a [LoadGenerator] run. */
public class LoadResult {
    /** Time to the first part of each complete answer, in microseconds. */
    public val firstPart: ConcurrentHistogram = ConcurrentHistogram(DIGITS)

    /** Time to the end of each complete answer, in microseconds. */
    public val total: ConcurrentHistogram = ConcurrentHistogram(DIGITS)
    private val outcomes = ConcurrentHashMap<String, LongAdder>()

    /** Counts one request with [outcome]. */
    public fun count(outcome: String): Unit = outcomes.computeIfAbsent(outcome) { LongAdder() }.increment()

    /** Number of requests by outcome. */
    public val counts: Map<String, Long> get() = outcomes.mapValues { it.value.sum() }.toSortedMap()

    private companion object {
        const val DIGITS = 3
    }
}
