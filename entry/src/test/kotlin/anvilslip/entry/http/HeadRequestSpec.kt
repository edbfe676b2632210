package anvilslip.entry.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith

/** Guards against a body after the response to a HEAD request, which the client reads as the start of its next response. */
class HeadRequestSpec :
    DescribeSpec({
        val handler =
            HttpHandler { call, responder ->
                when (call.path) {
                    "/stream" -> {
                        responder.startStream(200, "text/plain", mapOf("X-Stamp" to "1"))
                        responder.sendPart("part".toByteArray())
                        responder.endStream()
                    }

                    "/fail" -> {
                        error("intended")
                    }

                    else -> {
                        responder.respond(HttpResponse(404, "no route".toByteArray(), "text/plain", mapOf("X-Stamp" to "1")))
                    }
                }
            }

        describe("a HEAD request") {
            for ((kind, path) in listOf("whole" to "/whole", "streamed" to "/stream")) {
                it("gets the head of a $kind response, and after it the response to the next request") {
                    withServer(handler) { port ->
                        val received = exchangeRaw(port, "HEAD $path HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\nConnection: close\r\n\r\n")
                        received.substringBefore("\r\n\r\n").lowercase() shouldContain "x-stamp: 1"
                        received.substringAfter("\r\n\r\n") shouldStartWith "HTTP/1.1 404"
                        received.substringAfterLast("\r\n\r\n") shouldBe "no route"
                    }
                }
            }

            for ((kind, request) in listOf(
                "fails" to "HEAD /fail HTTP/1.1\r\n\r\n",
                "is rejected" to "HEAD / HTTP/1.2\r\n\r\n",
            )) {
                it("gets no body when it $kind") {
                    withServer(handler) { port -> exchangeRaw(port, request).substringAfter("\r\n\r\n") shouldBe "" }
                }
            }
        }
    })
