package anvilslip.entry.completion

import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.Metrics
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.kernel.launchPeriodically
import anvilslip.policy.TargetMissDetector
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Records in the timeline and the metrics when a service class starts or stops missing its wait target, and the main cause. */
public class WaitTracker(
    private val clock: Clock,
    private val timeline: Timeline,
    private val metrics: Metrics,
) : Service {
    override val name: String = NAME
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val detectors = HashMap<String, TargetMissDetector>()

    override suspend fun start() {
        scope.launchPeriodically("wait-tracker", UPDATE_INTERVAL) { update() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Service classes that currently miss their wait target, with the main cause. */
    public val drifting: Map<String, String>
        @Synchronized get() = detectors.filterValues { it.isMissingTarget }.mapValues { it.value.cause.orEmpty() }

    /** Records that a request of [serviceClass] waited [waited] for its first byte; [cause] is the largest contribution. */
    @Synchronized
    public fun recordWait(
        serviceClass: String,
        waited: Duration,
        target: Duration,
        cause: String,
    ) {
        metrics.firstByte.labelValues(serviceClass).observe(waited.inWholeNanoseconds / NANOS_PER_SECOND)
        record(serviceClass, if (waited > target) cause else null)
    }

    /** Records that a request of [serviceClass] was rejected because it would have missed its wait target. */
    @Synchronized
    public fun recordRejection(
        serviceClass: String,
        cause: String,
    ): Unit = record(serviceClass, cause)

    private fun record(
        serviceClass: String,
        missedCause: String?,
    ) {
        val detector = detectors.getOrPut(serviceClass) { TargetMissDetector() }
        if (detector.record(missedCause, clock.elapsed())) recordTransition(serviceClass, detector)
        metrics.missedShare.labelValues(serviceClass).set(detector.missedShare)
    }

    @Synchronized
    private fun update() {
        for ((serviceClass, detector) in detectors) if (detector.update(clock.elapsed())) recordTransition(serviceClass, detector)
    }

    private fun recordTransition(
        serviceClass: String,
        detector: TargetMissDetector,
    ) {
        val kind = if (detector.isMissingTarget) EventKind.TARGET_MISSED else EventKind.TARGET_MET
        val share = "%.3f".format(detector.missedShare)
        timeline.record(kind, cause = detector.cause, fields = mapOf("class" to serviceClass, "missed_share" to share))
    }

    public companion object {
        /** Service name. */
        public const val NAME: String = "wait-tracker"
        private val UPDATE_INTERVAL = 1.seconds
        private const val NANOS_PER_SECOND = 1e9
    }
}
