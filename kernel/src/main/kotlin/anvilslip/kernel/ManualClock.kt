package anvilslip.kernel

import kotlin.time.Duration
import kotlin.time.Instant

/** [Clock] with virtual time for tests and simulations; it moves only when [advance] is called. */
public class ManualClock(
    private var wall: Instant = Instant.fromEpochSeconds(1_700_000_000),
    private var monotonic: Duration = Duration.ZERO,
) : Clock {
    override fun now(): Instant = wall

    override fun elapsed(): Duration = monotonic

    /** Advances wall-clock and monotonic time by [step]. */
    public fun advance(step: Duration) {
        require(!step.isNegative()) { "step must not be negative" }
        wall += step
        monotonic += step
    }
}
