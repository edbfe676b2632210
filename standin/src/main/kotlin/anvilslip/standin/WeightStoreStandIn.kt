package anvilslip.standin

import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Stand-in for the weight store. A load takes [loadTime] while at most [fullSpeed] are in flight, and proportionally longer above that. */
public class WeightStoreStandIn(
    private val loadTime: Duration = 250.milliseconds,
    private val fullSpeed: Int = 8,
) : HttpHandler {
    private val inFlight = AtomicInteger()

    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ) {
        val now = inFlight.incrementAndGet()
        try {
            delay(loadTime * maxOf(1.0, now.toDouble() / fullSpeed))
        } finally {
            inFlight.decrementAndGet()
        }
        responder.respond(HttpResponse.json(200, "{}"))
    }
}
