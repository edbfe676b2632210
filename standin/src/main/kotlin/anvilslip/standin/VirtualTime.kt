package anvilslip.standin

import java.util.PriorityQueue
import kotlin.time.Duration

/** Discrete-event clock. Actions scheduled for the same time run in the order in which they were scheduled. */
public class VirtualTime {
    private class ScheduledAction(
        val at: Duration,
        val number: Long,
        val action: () -> Unit,
    )

    private val scheduled = PriorityQueue<ScheduledAction>(compareBy({ it.at }, { it.number }))
    private var nextNumber = 0L

    /** Current virtual time since the start of the run. */
    public var now: Duration = Duration.ZERO
        private set

    /** Schedules [action] at [time], or at [now] if [time] is in the past. */
    public fun at(
        time: Duration,
        action: () -> Unit,
    ) {
        scheduled += ScheduledAction(maxOf(time, now), nextNumber++, action)
    }

    /** Schedules [action] every [period], for the first time after one period. */
    public fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        at(now + period) {
            action()
            every(period, action)
        }
    }

    /** Runs the actions that are scheduled before [end]. */
    public fun runUntil(end: Duration) {
        while (true) {
            val next = scheduled.peek()?.takeIf { it.at < end } ?: return
            scheduled.remove()
            now = next.at
            next.action()
        }
    }
}
