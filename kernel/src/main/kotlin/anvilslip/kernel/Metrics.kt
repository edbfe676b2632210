package anvilslip.kernel

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** The metrics of one process; labels are bounded sets, never an adapter or a request. */
public class Metrics : Service {
    override val name: String = NAME
    private val registry = PrometheusRegistry()

    /** Requests answered, by class and outcome. */
    public val requests: Counter = counter("anvilslip_requests_total", "Requests answered", "class", "outcome")

    /** Refusals by stable error code. */
    public val refusals: Counter = counter("anvilslip_refusals_total", "Requests refused", "code")

    /** Seconds from admission until the first byte of the answer, by class. */
    public val firstByte: Histogram = histogram("anvilslip_first_byte_seconds", "Time until the first byte of the answer", "class")

    /** Seconds that requests waited for an adapter to be loaded. */
    public val loadStall: Histogram = histogram("anvilslip_load_stall_seconds", "Wait for an adapter load")

    /** Requests in flight on this instance. */
    public val inFlight: Gauge = gauge("anvilslip_requests_in_flight", "Requests in flight")

    /** Configuration revision in force on this instance. */
    public val revision: Gauge = gauge("anvilslip_configuration_revision", "Configuration revision in force")

    /** Bytes sent to other instances. */
    public val peerBytesSent: Counter = counter("anvilslip_peer_sent_bytes_total", "Bytes sent to other instances")

    /** Bytes received from other instances. */
    public val peerBytesReceived: Counter = counter("anvilslip_peer_received_bytes_total", "Bytes received from other instances")

    /** Syncs of the replicated log to disk. */
    public val syncs: Counter = counter("anvilslip_log_syncs_total", "Syncs of the replicated log")

    /** Share of recent requests that missed the wait target of their class. */
    public val missedShare: Gauge = gauge("anvilslip_target_missed_ratio", "Share of recent requests over the wait target", "class")

    /** All metrics in the Prometheus text format. */
    public fun scrape(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    /** Registers a counter of another module. */
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

    private fun gauge(
        name: String,
        help: String,
        vararg labels: String,
    ) = Gauge
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .register(registry)

    /** Registers a histogram of another module. */
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
        /** Name in the service registry. */
        public const val NAME: String = "metrics"
    }
}
