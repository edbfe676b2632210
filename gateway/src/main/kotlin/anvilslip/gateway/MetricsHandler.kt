package anvilslip.gateway

import anvilslip.entry.HttpAnswer
import anvilslip.entry.HttpCall
import anvilslip.entry.HttpHandler
import anvilslip.entry.HttpResponder
import anvilslip.kernel.Metrics

/** Serves the metrics of this process over HTTP. */
public class MetricsHandler(
    private val metrics: Metrics,
) : HttpHandler {
    override suspend fun handle(
        call: HttpCall,
        responder: HttpResponder,
    ): Unit = responder.answer(if (call.path == PATH) HttpAnswer.text(200, metrics.scrape()) else HttpAnswer.text(404, "see $PATH\n"))

    private companion object {
        const val PATH = "/metrics"
    }
}
