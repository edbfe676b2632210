package anvilslip.kernel

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Instant

/** [Clock] that reads the system time and the monotonic timer of the JVM. */
public object SystemClock : Clock {
    override fun now(): Instant =
        kotlin.time.Clock.System
            .now()

    override fun elapsed(): Duration = System.nanoTime().nanoseconds
}
