package anvilslip.gateway

import anvilslip.kernel.EventLogger

/** Logs and counts the answers of backend servers that are given up because there is no memory to keep them. */
internal class GivenUpAnswerRecorder(
    private val metrics: GatewayMetrics,
) {
    private val log = EventLogger("answers")

    /** Records an answer that took [heldBytes] of memory; does not block. */
    fun record(heldBytes: Long) {
        metrics.answersGivenUp.inc()
        log.info("answer_given_up", "held_bytes" to heldBytes)
    }
}
