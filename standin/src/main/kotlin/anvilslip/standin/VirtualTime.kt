package anvilslip.standin

import java.util.PriorityQueue
import kotlin.time.Duration

/** Time that passes from one planned action to the next; actions planned for the same moment run in the order they were planned. */
public class VirtualTime {
    private class Planned(
        val at: Duration,
        val number: Long,
        val action: () -> Unit,
    )

    private val planned = PriorityQueue<Planned>(compareBy({ it.at }, { it.number }))
    private var numbers = 0L

    /** The present moment, from the start of the run. */
    public var now: Duration = Duration.ZERO
        private set

    /** Plans [action] for [time], which is not before [now]. */
    public fun at(
        time: Duration,
        action: () -> Unit,
    ) {
        planned += Planned(maxOf(time, now), numbers++, action)
    }

    /** Plans [action] for once every [period], from one period on. */
    public fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        at(now + period) {
            action()
            every(period, action)
        }
    }

    /** Runs what is planned until [end]. */
    public fun runUntil(end: Duration) {
        while (true) {
            val next = planned.peek()?.takeIf { it.at < end } ?: return
            planned.remove()
            now = next.at
            next.action()
        }
    }
}
