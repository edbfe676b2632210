package anvilslip.gateway

import anvilslip.kernel.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Clock that stands still until a test sets its [time]. */
internal class TestClock(
    var time: Duration,
) : Clock {
    override fun now(): Instant = Instant.fromEpochMilliseconds(time.inWholeMilliseconds)

    override fun elapsed(): Duration = time
}
