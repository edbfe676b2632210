package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Mean speed of the servers of a service, fitted to the times after which their answers begin: the time is proportional to the work
 * ahead of the answer (prompt tokens on an engine, rounds of requests on a plain server), plus a cost for each running request.
 */
internal class ServicePerformance(
    private val initialMillisPerUnit: Double,
    private val initialMillisPerRunning: Double,
) {
    /** A server answered a request [time] after it was sent, with [work] ahead of the answer and [running] other requests. */
    class Sample(
        val work: Double,
        val running: Int,
        val time: Duration,
        val answeredAt: Duration,
    ) {
        val millis: Double = time.toDouble(DurationUnit.MILLISECONDS)
    }

    /** Decayed sums of the normal equations; each sample is scaled by its time, so that relative errors count. */
    private var workSquared = INITIAL_SAMPLES / (initialMillisPerUnit * initialMillisPerUnit)
    private var workSum = INITIAL_SAMPLES / initialMillisPerUnit
    private var runningSquared = 0.0
    private var runningSum = 0.0
    private var product = 0.0

    /** Expected milliseconds for one unit of work. */
    var millisPerUnit: Double = initialMillisPerUnit
        private set

    /** Milliseconds that one running request adds, since it makes each batch step longer. */
    var millisPerRunning: Double = initialMillisPerRunning
        private set

    /** Milliseconds after which a server of mean speed answers a request with [work] ahead of its answer. */
    fun expectedMillis(
        work: Double,
        running: Int,
    ): Double = work * millisPerUnit + running * millisPerRunning

    fun observe(sample: Sample) {
        val work = sample.work / sample.millis
        val running = sample.running / sample.millis
        workSquared = workSquared * DECAY + work * work
        workSum = workSum * DECAY + work
        runningSquared = runningSquared * DECAY + running * running
        runningSum = runningSum * DECAY + running
        product = product * DECAY + work * running
        fit()
    }

    private fun fit() {
        val squared = runningSquared + RUNNING_PRIOR
        val sum = runningSum + RUNNING_PRIOR * initialMillisPerRunning
        val determinant = workSquared * squared - product * product
        val perRunning = if (determinant > 0) (workSquared * sum - product * workSum) / determinant else initialMillisPerRunning
        millisPerRunning = perRunning.coerceIn(0.0, initialMillisPerRunning * MAX_CHANGE)
        val perUnit = (workSum - product * millisPerRunning) / workSquared
        millisPerUnit = perUnit.coerceIn(initialMillisPerUnit / MAX_CHANGE, initialMillisPerUnit * MAX_CHANGE)
    }

    private companion object {
        /** Weight of the initial estimate, in samples. */
        const val INITIAL_SAMPLES = 20.0

        /** Weight of the initial cost of a running request; samples outweigh it once about 20 of them had ten running requests. */
        const val RUNNING_PRIOR = 0.02

        /** Decay of the sums for each sample; about 200 samples count. */
        const val DECAY = 0.995

        /** Bound on how far measurements move an estimate from its initial value. */
        const val MAX_CHANGE = 10.0
    }
}
