package anvilslip.policy

import anvilslip.policy.ServicePerformance.Sample
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Speed of one server relative to the mean of its service. The median of its recent answers ignores slow spells that are shorter than
 * half of the window. The mean of the service is the prior, and counts less the more answers there are.
 */
internal class EnginePerformance(
    private val service: ServicePerformance,
) {
    private val samples = ArrayDeque<Sample>()
    private var isRestarted = false

    /** Factor by which the server takes longer than the mean of its service. */
    var slowness: Double = 1.0
        private set

    /** Units of work per millisecond. */
    val speed: Double get() = 1 / (service.millisPerUnit * slowness)

    /** Expected time until the server begins an answer that has [work] ahead of it, with [running] other requests. */
    fun expectedTime(
        work: Double,
        running: Int,
    ): Duration = expectedMillis(work, running).milliseconds

    /** [expectedTime] in milliseconds. */
    fun expectedMillis(
        work: Double,
        running: Int,
    ): Double = service.expectedMillis(work, running) * slowness

    /** Applies the time of an answer to the estimates of the server and of its service. */
    fun observe(sample: Sample) {
        if (!sample.time.isPositive() || sample.work <= 0) return
        service.observe(sample)
        samples.addLast(sample)
        while (samples.size > MAX_SAMPLES || hasOutdatedSample(sample.answeredAt)) samples.removeFirst()
        update()
    }

    /** Discards the answers of the previous process. Until the new one answers, it is assumed to be slow. */
    fun restart() {
        samples.clear()
        isRestarted = true
        update()
    }

    private fun hasOutdatedSample(now: Duration) = samples.size > MIN_SAMPLES && samples.first().answeredAt < now - WINDOW

    private fun update() {
        if (samples.isEmpty()) {
            slowness = if (isRestarted) 1 / RESTART_SPEED else 1.0
            return
        }
        val ratios = DoubleArray(samples.size) { samples[it].run { millis / service.expectedMillis(work, running) } }
        ratios.sort()
        val median = (ratios[(ratios.size - 1) / 2] + ratios[ratios.size / 2]) / 2
        val logarithm = ln(median) * samples.size / (samples.size + PRIOR_SAMPLES)
        slowness = exp(logarithm).coerceIn(1 / MAX_RATIO, MAX_RATIO)
    }

    private companion object {
        /** Answers within this time count; a lasting change shows after half of it. */
        val WINDOW = 3.seconds

        /** The last answers count even if they are older than [WINDOW]; a median of five ignores two outliers. */
        const val MIN_SAMPLES = 5
        const val MAX_SAMPLES = 64

        /** Weight of the prior, in answers. */
        const val PRIOR_SAMPLES = 1.0

        /** Speed that is assumed of a process that has just started, relative to the mean of its service. */
        const val RESTART_SPEED = 0.6

        /** Bound on the estimate, so that a few wrong measurements cannot exclude a server or attract all requests. */
        const val MAX_RATIO = 8.0
    }
}
