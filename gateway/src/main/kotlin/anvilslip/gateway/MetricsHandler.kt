package anvilslip.gateway

import anvilslip.entry.HttpHandler
import anvilslip.entry.HttpResponder
import anvilslip.entry.HttpResponse
import anvilslip.entry.HttpServerRequest
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
