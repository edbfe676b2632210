package anvilslip.policy

import kotlin.math.roundToInt

/**
 * Distributes clients over entry instances of unequal capacity. A client picks one of the addresses that it is told at random, so an
 * instance is listed once for each multiple of the smallest capacity. The list depends on the instances alone, and so stays the same
 * between two answers.
 */
public object EntryWeights {
    /** Lists [entries] by weight, with at most [maxLength] elements; without repetition if all have the same capacity. */
    public fun list(
        entries: List<EntryInstance>,
        maxLength: Int,
    ): List<EntryInstance> {
        val smallest = entries.filter { it.capacity > 0 }.minOfOrNull { it.capacity } ?: return entries.take(maxLength)
        val copies = entries.map { (it.capacity / smallest).roundToInt().coerceIn(1, MAX_COPIES) }
        // Further copies come last, so that a list that is cut off names as many instances as possible.
        val rounds = (0 until (copies.maxOrNull() ?: 0)).flatMap { round -> entries.filterIndexed { i, _ -> copies[i] > round } }
        return rounds.take(maxLength)
    }

    /** Limits the share of an instance with a misconfigured capacity. */
    private const val MAX_COPIES = 8
}
