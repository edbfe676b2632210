package anvilslip.gateway

import anvilslip.kernel.Clock
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Clock that shows the virtual time of [scheduler]. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SchedulerClock(
    private val scheduler: TestCoroutineScheduler,
) : Clock {
    override fun now(): Instant = Instant.fromEpochMilliseconds(scheduler.currentTime)

    override fun elapsed(): Duration = scheduler.currentTime.milliseconds
}
