package anvilslip.kernel

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/**
 * Prometheus metrics of one process. Label values come from bounded sets and never name an adapter or a request, so that the number
 * of time series stays bounded.
 */
public class Metrics : Service {
    override val name: String = NAME
    private val registry = PrometheusRegistry()

    /** Answered requests by class and outcome. */
    public val requests: Counter = counter("anvilslip_requests_total", "Requests answered", "class", "outcome")

    /** Refused requests by error code. */
    public val refusals: Counter = counter("anvilslip_refusals_total", "Requests refused", "code")

    /** Seconds from admission to the first byte of the response, by class. */
    public val firstByte: Histogram = histogram("anvilslip_first_byte_seconds", "Time until the first byte of the answer", "class")

    /** Seconds that requests waited for an adapter load. */
    public val loadStall: Histogram = histogram("anvilslip_load_stall_seconds", "Wait for an adapter load")

    /** Requests in flight on this instance. */
    public val inFlight: Gauge = gauge("anvilslip_requests_in_flight", "Requests in flight")

    /** Configuration revision that this instance has applied. */
    public val revision: Gauge = gauge("anvilslip_configuration_revision", "Configuration revision in force")

    /** Bytes sent to other instances, by kind of message and by availability zone of the receiver. */
    public val peerBytesSent: Counter = counter("anvilslip_peer_sent_bytes_total", "Bytes sent to other instances", "kind", "zone")

    /** Bytes received from other instances. */
    public val peerBytesReceived: Counter = counter("anvilslip_peer_received_bytes_total", "Bytes received from other instances")

    /** Number of times the replicated log was synced to disk. */
    public val syncs: Counter = counter("anvilslip_log_syncs_total", "Syncs of the replicated log")

    /** Ratio of recent requests that exceeded the wait target, by class. */
    public val missedShare: Gauge = gauge("anvilslip_target_missed_ratio", "Share of recent requests over the wait target", "class")

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    /** Creates and registers a counter. */
    public fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .register(registry)

    /** Creates and registers a gauge. */
    public fun gauge(
        name: String,
        help: String,
        vararg labels: String,
    ): Gauge =
        Gauge
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .register(registry)

    /** Creates and registers a gauge without labels, whose value is read when the metrics are scraped. */
    public fun gauge(
        name: String,
        help: String,
        read: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }

    /** Creates and registers a histogram with classic buckets. */
    public fun histogram(
        name: String,
        help: String,
        vararg labels: String,
    ): Histogram =
        Histogram
            .builder()
            .name(name)
            .help(help)
            .classicOnly()
            .labelNames(*labels)
            .register(registry)

    public companion object {
        /** Name under which the metrics are registered in the [ServiceRegistry]. */
        public const val NAME: String = "metrics"
    }
}
