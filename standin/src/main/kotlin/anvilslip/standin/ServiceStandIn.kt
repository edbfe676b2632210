package anvilslip.standin

import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import kotlinx.coroutines.delay
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** Stand-in for an application service, which records the body of every call that it executes. */
public class ServiceStandIn(
    private val server: String,
    private val callTime: Duration,
) : HttpHandler {
    private val callCount = AtomicInteger()
    private val executed = CopyOnWriteArrayList<String>()

    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ) {
        if (call.path == "/standin/v1/executed") return responder.respond(executed())
        val body = call.body.decodeToString()
        executed += body
        delay(callTime)
        val answer =
            buildJsonObject {
                put("server", server)
                put("number", callCount.incrementAndGet())
                put("echo", body)
                put("workspace", call.header("x-workspace").orEmpty())
            }
        responder.respond(HttpResponse.json(200, answer.toString()))
    }

    private fun executed(): HttpResponse =
        HttpResponse.json(
            200,
            buildJsonObject {
                putJsonArray("executed") { executed.forEach { add(it) } }
            }.toString(),
        )
}
