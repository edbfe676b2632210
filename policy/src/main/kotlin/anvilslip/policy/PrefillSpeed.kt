package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Prompt tokens that the engines of a service read in a millisecond, from when their answers begin. */
internal class PrefillSpeed(
    initial: Double,
) {
    private var tokens = initial * INITIAL_MILLIS
    private var millis = INITIAL_MILLIS

    val tokensPerMillisecond: Double get() = tokens / millis

    /** An engine that was not idle read [count] tokens in [time]. */
    fun observe(
        count: Int,
        time: Duration,
    ) {
        tokens = tokens * KEPT + count
        millis = millis * KEPT + time.toDouble(DurationUnit.MILLISECONDS)
    }

    private companion object {
        /** Weight of the initial guess. */
        const val INITIAL_MILLIS = 2_000.0
        const val KEPT = 0.98
    }
}
