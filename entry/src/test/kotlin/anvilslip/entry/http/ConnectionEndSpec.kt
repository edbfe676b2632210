package anvilslip.entry.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** Guards against handling requests whose responses cannot be delivered, or body bytes, after the last response of a connection. */
class ConnectionEndSpec :
    DescribeSpec({
        val connections = 20
        val settling = 200.milliseconds
        val wholeResponses = setOf("/whole", "/next")
        val next = "GET /next HTTP/1.1\r\n\r\n"

        for ((what, request) in listOf(
            "is answered with Connection: close" to "GET /whole HTTP/1.1\r\nConnection: close\r\n\r\n",
            "has a streamed response with Connection: close" to "GET /stream HTTP/1.1\r\nConnection: close\r\n\r\n",
            "has its response aborted" to "GET /abort HTTP/1.1\r\n\r\n",
            "fails" to "GET /fail HTTP/1.1\r\n\r\n",
            "has a body that is too large" to
                "POST / HTTP/1.1\r\nContent-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n${"x".repeat(MAX_BODY_BYTES + 1)}",
            "has a transfer encoding that is not supported" to "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
            "has a version that is not supported" to "GET / HTTP/1.2\r\n\r\n",
            "has a malformed query" to "GET /?a=%zz HTTP/1.1\r\n\r\n",
        )) {
            describe("a request that $what") {
                it("is the last of its connection that is handled") {
                    val handledNext = AtomicInteger()
                    val handler =
                        HttpHandler { call, responder ->
                            when (call.path) {
                                "/next" -> handledNext.incrementAndGet()
                                "/fail" -> error("intended")
                            }
                            if (call.path in wholeResponses) return@HttpHandler responder.respond(HttpResponse.text(200, "whole"))
                            responder.startStream(200, "text/plain")
                            if (call.path == "/abort") responder.abort() else responder.endStream()
                        }
                    withServer(handler) { port ->
                        repeat(connections) { exchangeRaw(port, request + next) }
                        delay(settling)
                    }
                    handledNext.get() shouldBe 0
                }
            }
        }
    })
