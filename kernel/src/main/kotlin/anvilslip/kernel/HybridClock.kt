package anvilslip.kernel

import java.util.concurrent.atomic.AtomicReference

/** Hybrid logical clock: each [Stamp] it issues is greater than all stamps issued or observed before. */
public class HybridClock(
    private val clock: Clock,
) {
    private val last = AtomicReference(Stamp(0, 0))

    /** Returns the stamp for a local event or an outgoing message. */
    public fun next(): Stamp = last.updateAndGet { nextAfter(it) }

    /** Advances the clock past [other], the stamp of a received message. */
    public fun observe(other: Stamp) {
        last.updateAndGet { nextAfter(maxOf(it, other)) }
    }

    private fun nextAfter(previous: Stamp): Stamp {
        val millis = clock.now().toEpochMilliseconds()
        return if (millis > previous.millis) Stamp(millis, 0) else Stamp(previous.millis, previous.counter + 1)
    }
}
