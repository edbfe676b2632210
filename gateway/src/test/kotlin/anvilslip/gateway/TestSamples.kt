package anvilslip.gateway

import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponse

/** Messages of [TestDialect]. */
internal object TestSamples : WarmUpSamples {
    override val engine = HttpHandler { _, responder -> responder.respond(HttpResponse.json(200, "{}")) }
}
