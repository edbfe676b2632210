package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Number of requests that were sent to one server within [WINDOW], counted in steps of a quarter of a second. */
internal class RecentSends {
    private val counts = IntArray(STEPS)
    private var lastStep = 0L

    /** Records a request that is sent at [now]. */
    fun record(now: Duration) {
        advance(now)
        counts[(lastStep % STEPS).toInt()]++
    }

    /** Returns the number of requests that were sent within [WINDOW] before [now]. */
    fun count(now: Duration): Int {
        advance(now)
        return counts.sum()
    }

    private fun advance(now: Duration) {
        val step = (now / STEP_LENGTH).toLong()
        if (step - lastStep >= STEPS) counts.fill(0) else for (passed in lastStep + 1..step) counts[(passed % STEPS).toInt()] = 0
        lastStep = maxOf(lastStep, step)
    }

    companion object {
        private val STEP_LENGTH = 250.milliseconds
        private const val STEPS = 6

        /** Time for which requests are counted. */
        val WINDOW = STEP_LENGTH * STEPS
    }
}
