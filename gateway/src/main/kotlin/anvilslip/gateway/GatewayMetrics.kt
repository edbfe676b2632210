package anvilslip.gateway

import anvilslip.kernel.Metrics
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram

/** Metrics of the requests that an entry instance forwards. */
public class GatewayMetrics(
    private val metrics: Metrics,
) {
    /** Number of requests, by kind of route and outcome. */
    public val outcomes: Counter = metrics.counter("anvilslip_forwarded_total", "Requests by kind and outcome", "kind", "outcome")

    /** Seconds from the arrival of a request to the end of its response, by kind of route. */
    public val duration: Histogram = metrics.histogram("anvilslip_forwarded_seconds", "Time until the end of the answer", "kind")

    /** Number of streams that clients resumed, by who knew where they began and whether that was known. */
    public val resumptions: Counter =
        metrics.counter("anvilslip_resumptions_total", "Streams that clients resumed by origin", "source", "origin")

    /** Number of answers that do not name the request that was waiting, by the ID that they have and the age of their connection. */
    public val foreignAnswers: Counter =
        metrics.counter("anvilslip_foreign_answers_total", "Answers that do not name the waiting request", "id", "connection")

    /** Number of answers of servers that were given up because there was no memory to keep them. */
    public val answersGivenUp: Counter =
        metrics.counter("anvilslip_answers_given_up_total", "Answers of servers given up for lack of memory")

    private val evacuatedZones = metrics.gauge("anvilslip_zone_evacuated", "1 if the availability zone is under evacuation", "zone")

    private val configurationVersion = metrics.gauge("anvilslip_configuration_version", "Version of the configuration document in force")

    /** Reports the memory that answers of servers take, read by [heldBytes]. */
    public fun recordAnswerBytes(heldBytes: () -> Long): Unit =
        metrics.gauge("anvilslip_answer_bytes", "Memory of the answers of servers") { heldBytes().toDouble() }

    /** Records that [version] of the configuration document is in force on this instance. */
    public fun recordConfigurationVersion(version: Long): Unit = configurationVersion.set(version.toDouble())

    /** Records whether the availability zone [zone] is under evacuation. */
    public fun recordEvacuation(
        zone: String,
        isActive: Boolean,
    ): Unit = evacuatedZones.labelValues(zone).set(if (isActive) 1.0 else 0.0)
}
