package anvilslip.entry

import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.Metrics
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.policy.TargetMissDetector
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tells on the timeline and in the metrics when a class drifts past its wait target, and why. */
public class WaitTracker(
    private val clock: Clock,
    private val timeline: Timeline,
    private val metrics: Metrics,
) : Service {
    override val name: String = NAME
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val detectors = HashMap<String, TargetMissDetector>()

    override suspend fun start() {
        scope.launch {
            while (true) {
                delay(UPDATE_INTERVAL)
                update()
            }
        }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Classes that drift now, with the main cause. */
    public val drifting: Map<String, String>
        @Synchronized get() = detectors.filterValues { it.isMissingTarget }.mapValues { it.value.cause.orEmpty() }

    /** Records that a request of [serviceClass] waited [waited] for its first byte, the longest part of it for [cause]. */
    @Synchronized
    public fun waited(
        serviceClass: String,
        waited: Duration,
        target: Duration,
        cause: String,
    ) {
        metrics.firstByte.labelValues(serviceClass).observe(waited.inWholeNanoseconds / NANOS_PER_SECOND)
        record(serviceClass, if (waited > target) cause else null)
    }

    /** Records that a request of [serviceClass] was refused because it would have waited too long. */
    @Synchronized
    public fun refused(
        serviceClass: String,
        cause: String,
    ): Unit = record(serviceClass, cause)

    private fun record(
        serviceClass: String,
        missedBecause: String?,
    ) {
        val detector = detectors.getOrPut(serviceClass) { TargetMissDetector() }
        if (detector.record(missedBecause, clock.elapsed())) announce(serviceClass, detector)
        metrics.missedShare.labelValues(serviceClass).set(detector.missedShare)
    }

    @Synchronized
    private fun update() {
        for ((serviceClass, detector) in detectors) if (detector.update(clock.elapsed())) announce(serviceClass, detector)
    }

    private fun announce(
        serviceClass: String,
        detector: TargetMissDetector,
    ) {
        val kind = if (detector.isMissingTarget) EventKind.TARGET_MISSED else EventKind.TARGET_MET
        val share = "%.3f".format(detector.missedShare)
        timeline.record(kind, cause = detector.cause, fields = mapOf("class" to serviceClass, "missed_share" to share))
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "wait-tracker"
        private val UPDATE_INTERVAL = 1.seconds
        private const val NANOS_PER_SECOND = 1e9
    }
}
