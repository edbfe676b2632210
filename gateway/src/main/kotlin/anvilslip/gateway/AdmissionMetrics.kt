package anvilslip.gateway

import anvilslip.kernel.Metrics
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram

/** Metrics of the leader's queue for admission. Priorities are bounded by the policy, so that the number of time series is, too. */
public class AdmissionMetrics(
    metrics: Metrics,
) {
    /** Requests that wait at the leader, by priority. */
    public val waiting: Gauge = metrics.gauge("anvilslip_admission_waiting", "Requests that wait for admission", "priority")

    /** Seconds that admitted requests have waited at the leader, by priority. */
    public val waitTime: Histogram = metrics.histogram("anvilslip_admission_wait_seconds", "Wait of admitted requests", "priority")

    /** Requests that the leader has refused, by reason and priority. */
    public val refusals: Counter =
        metrics.counter("anvilslip_admission_refusals_total", "Requests refused by the leader", "reason", "priority")
}
