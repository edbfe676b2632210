package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Estimate of the prefill speed of the engines of a service, derived from the times at which their answers begin. */
internal class PrefillSpeed(
    initial: Double,
) {
    private var tokens = initial * INITIAL_MILLIS
    private var millis = INITIAL_MILLIS

    /** Estimated prompt tokens processed per millisecond. */
    val tokensPerMillisecond: Double get() = tokens / millis

    /** Records that a busy engine processed [count] prompt tokens in [time]. */
    fun observe(
        count: Int,
        time: Duration,
    ) {
        tokens = tokens * DECAY + count
        millis = millis * DECAY + time.toDouble(DurationUnit.MILLISECONDS)
    }

    private companion object {
        /** Weight of the initial estimate, as milliseconds of observation. */
        const val INITIAL_MILLIS = 2_000.0
        const val DECAY = 0.98
    }
}
