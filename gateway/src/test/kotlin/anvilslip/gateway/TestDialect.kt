package anvilslip.gateway

import anvilslip.entry.http.Correlation
import anvilslip.entry.http.HttpClientResponse
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Minimal dialect with short header names, for tests. */
internal object TestDialect : RequestDialect {
    override fun decode(call: HttpServerRequest) =
        ClientRequest(
            call = call,
            attemptId = call.header("id"),
            host = call.header("host").orEmpty().substringBefore(':'),
            apiKey = call.header("key"),
            timeout = null,
            lastEventId = call.header("last"),
            resumedAttemptId = call.header("resumes"),
        )

    override fun headers(
        request: ClientRequest,
        metadata: ForwardingMetadata,
    ): Map<String, String> = listOfNotNull("id" to request.attemptId.orEmpty(), metadata.lastEventId?.let { "last" to it }).toMap()

    override fun correlationOf(request: ClientRequest) = request.attemptId?.let { Correlation("id", it) }

    override fun classify(response: HttpClientResponse): ServerVerdict =
        if (response.header("not-run") == null) ServerVerdict.ANSWER else ServerVerdict.NOT_RUN

    override fun noticeOf(response: HttpClientResponse) =
        ServerNotice(
            isLeaving = response.header("leaving") != null,
            pause = response.header("pause")?.toLong()?.milliseconds,
            limit = response.header("limit")?.let { LimitNotice.Named(it.toDouble()) } ?: LimitNotice.None,
        )

    override fun responseHeaders(response: HttpClientResponse): Map<String, String> = emptyMap()

    override fun errorResponse(
        request: ClientRequest,
        status: Int,
        reason: String,
        retryAfter: Duration?,
    ): HttpResponse {
        val headers = retryAfter?.let { mapOf("retry" to "${it.inWholeMilliseconds}") }.orEmpty()
        return HttpResponse(status, reason.toByteArray(), "text/plain", headers)
    }
}
