package anvilslip.gateway

import anvilslip.entry.HttpAnswer
import anvilslip.entry.HttpCall
import anvilslip.entry.HttpClientAnswer
import kotlin.time.Duration

/** Minimal dialect with short header names, for tests. */
internal object TestDialect : RequestDialect {
    override fun decode(call: HttpCall) =
        ClientRequest(call, call.header("id"), call.header("host").orEmpty().substringBefore(':'), call.header("key"), null)

    override fun headers(
        request: ClientRequest,
        metadata: ForwardingMetadata,
    ): Map<String, String> = listOfNotNull("id" to request.attemptId.orEmpty(), metadata.lastEventId?.let { "last" to it }).toMap()

    override fun classify(
        request: ClientRequest,
        answer: HttpClientAnswer,
    ): ServerVerdict =
        when {
            answer.header("not-run") != null -> ServerVerdict.NOT_RUN
            answer.header("id") != request.attemptId -> ServerVerdict.FOREIGN
            else -> ServerVerdict.ANSWER
        }

    override fun answerHeaders(answer: HttpClientAnswer): Map<String, String> = emptyMap()

    override fun errorAnswer(
        request: ClientRequest,
        status: Int,
        reason: String,
        retryAfter: Duration?,
    ): HttpAnswer = HttpAnswer.text(status, reason)
}
