package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.DispatchDecision
import kotlin.time.Duration

/** Logs and counts the decisions on client requests and their outcomes. */
internal class RequestLog(
    private val metrics: GatewayMetrics,
    private val clock: Clock,
) {
    private val log = EventLogger("request")

    /** Records a request that was rejected before admission, for example without a route. */
    fun recordDenial(
        request: ClientRequest,
        status: Int,
        reason: String,
        configurationVersion: Long?,
    ) {
        metrics.outcomes.labelValues(NO_ROUTE, reason).inc()
        log.info(
            "refused",
            "request_id" to request.attemptId,
            "status" to status,
            "reason" to reason,
            "configuration" to configurationVersion,
        )
    }

    /** Records that the leader, or this instance without one, refused a request. */
    fun recordRefusal(
        exchange: Exchange,
        refusal: DispatchDecision.Refuse,
    ): Unit =
        log.info(
            "refused",
            "request_id" to exchange.request.attemptId,
            "reason" to refusal.reason.name.lowercase(),
            "term" to (exchange.lastTerm ?: "none"),
            "servers" to refusal.servers,
            "wait_ms" to refusal.waitMillis,
            "target_ms" to exchange.route.target.inWholeMilliseconds,
            "retry_ms" to refusal.retryMillis,
            "configuration" to exchange.configurationVersion,
        )

    /** Records that a request is not sent to servers because [key], one of its suspect keys, is quarantined. */
    fun recordQuarantine(
        exchange: Exchange,
        key: String,
    ): Unit =
        log.info(
            "refused",
            "request_id" to exchange.request.attemptId,
            "fingerprint" to exchange.fingerprint,
            "reason" to "quarantined",
            "key" to key,
            "runs" to exchange.possibleRuns,
        )

    /** Records an attempt that failed with [event], `not_run`, `not_kept` or `broken`. */
    fun recordFailedAttempt(
        event: String,
        exchange: Exchange,
        decision: DispatchDecision.Send,
        reason: String,
    ): Unit =
        log.info(
            event,
            "request_id" to exchange.request.attemptId,
            "fingerprint" to exchange.fingerprint,
            "server" to decision.server,
            "reason" to reason,
        )

    /** Records where the stream began that the client of [exchange] resumes. */
    fun recordResumption(
        exchange: Exchange,
        result: StreamResolver.Result,
    ) {
        val source = result.source.name.lowercase()
        metrics.resumptions.labelValues(source, if (result.origin == null) "unknown" else "known").inc()
        log.info(
            "stream_origin",
            "request_id" to exchange.request.attemptId,
            "resumes" to exchange.request.resumedAttemptId,
            "last_event" to exchange.request.lastEventId,
            "service" to result.origin?.service,
            "version" to result.origin?.softwareVersion,
            "source" to source,
        )
    }

    /** Records that [attempt] resumes a stream, for the client or within the response. */
    fun recordResumedAttempt(
        exchange: Exchange,
        attempt: Attempt,
    ): Unit =
        log.info(
            "resumed",
            "request_id" to exchange.request.attemptId,
            "resumes" to exchange.request.resumedAttemptId,
            "within_response" to exchange.hasResponseStarted,
            "last_event" to exchange.events.lastId,
            "server" to attempt.decision.server,
            "version" to attempt.softwareVersion,
            "term" to (attempt.term ?: "none"),
        )

    /** Records how a request ended. */
    fun recordOutcome(
        exchange: Exchange,
        outcome: String,
    ) {
        val duration = clock.elapsed() - exchange.startedAt
        val kind =
            exchange.route.kind.name
                .lowercase()
        metrics.outcomes.labelValues(kind, outcome).inc()
        metrics.duration.labelValues(kind).observe(duration.inWholeMilliseconds / MILLIS_PER_SECOND)
        log.info(
            "finished",
            "request_id" to exchange.request.attemptId,
            "fingerprint" to exchange.fingerprint,
            "route" to exchange.route.name,
            "service" to exchange.service,
            "workspace" to exchange.workspace?.name,
            "adapter" to exchange.request.adapter,
            "server" to exchange.lastServer,
            "sendings" to exchange.attempts,
            "configuration" to exchange.configurationVersion,
            "term" to (exchange.lastTerm ?: "none"),
            "charge" to exchange.charge,
            "charged_ms" to millisSinceStart(exchange, exchange.chargedAt),
            "sent_ms" to millisSinceStart(exchange, exchange.firstSentAt),
            "took_ms" to duration.inWholeMilliseconds,
            "outcome" to outcome,
        )
    }

    private fun millisSinceStart(
        exchange: Exchange,
        time: Duration?,
    ): Long? = time?.minus(exchange.startedAt)?.inWholeMilliseconds

    private companion object {
        const val NO_ROUTE = "none"
        const val MILLIS_PER_SECOND = 1000.0
    }
}
