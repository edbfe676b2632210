package anvilslip.policy

import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Exponentially decaying count of the tokens requested per workspace, used to measure its share relative to the others. */
public class VirtualTokenCounters(
    private val halfLife: Duration = DEFAULT_HALF_LIFE,
) {
    private class Counter(
        var value: Double,
        var at: Duration,
    )

    private val counters = HashMap<String, Counter>()

    /** Adds [tokens] to the counter of [workspace]. */
    public fun charge(
        workspace: String,
        tokens: Double,
        now: Duration,
    ) {
        val counter = counters.getOrPut(workspace) { Counter(0.0, now) }
        counter.value = counter.value * exp(-ln(2.0) * ((now - counter.at) / halfLife)) + tokens
        counter.at = now
    }

    /** Usage of [workspace] relative to the mean of all counted workspaces, from 0 to [MAX_SHARE]; 1 is an equal share. */
    public fun shareOf(workspace: String): Double {
        val own = counters[workspace]?.value ?: return 0.0
        val mean = counters.values.sumOf { it.value } / counters.size
        return if (mean <= 0.0) 1.0 else (own / mean).coerceIn(0.0, MAX_SHARE)
    }

    public companion object {
        /** Highest value of [shareOf]. */
        public const val MAX_SHARE: Double = 4.0
        private val DEFAULT_HALF_LIFE = 10.seconds
    }
}
