package anvilslip.gateway

import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import anvilslip.kernel.Metrics

/** Serves the metrics of this process over HTTP. */
public class MetricsHandler(
    private val metrics: Metrics,
) : HttpHandler {
    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ): Unit = responder.respond(if (call.path == PATH) HttpResponse.text(200, metrics.scrape()) else HttpResponse.text(404, "see $PATH\n"))

    private companion object {
        const val PATH = "/metrics"
    }
}
