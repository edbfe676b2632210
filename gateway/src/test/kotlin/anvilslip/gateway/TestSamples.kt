package anvilslip.gateway

import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest

/** Messages of [TestDialect]. */
internal object TestSamples : WarmUpSamples {
    override val engine = HttpHandler { _, responder -> responder.respond(HttpResponse.json(200, "{}")) }

    override fun requestHeaders(
        attemptId: String,
        apiKey: String,
    ) = mapOf("id" to attemptId, "key" to apiKey)

    override fun responseHeaders(call: HttpServerRequest) = mapOf("id" to call.header("id").orEmpty())
}
