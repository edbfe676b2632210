package anvilslip.gateway

import anvilslip.entry.http.ForeignAnswer
import anvilslip.kernel.EventLogger

/** Logs and counts the answers of backend servers that do not name the request that was waiting on their connection. */
internal class ForeignAnswerRecorder(
    private val metrics: GatewayMetrics,
) {
    private val log = EventLogger("answers")

    /** Records [answer]; does not block. */
    fun record(answer: ForeignAnswer) {
        val id = if (answer.foundId == null) "none" else "other"
        val connection = if (answer.exchange == 1) "new" else "reused"
        metrics.foreignAnswers.labelValues(id, connection).inc()
        log.info(
            "foreign_answer",
            "request_id" to answer.expectedId,
            "found_id" to answer.foundId,
            "address" to answer.address,
            "status" to answer.status,
            "exchange" to answer.exchange,
            "since_previous_ms" to answer.sincePrevious?.inWholeMilliseconds,
        )
    }
}
