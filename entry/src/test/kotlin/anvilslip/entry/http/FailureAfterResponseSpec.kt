package anvilslip.entry.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith

/** Guards against a connection that is closed, or left without a response, because a handler failed once its response was begun. */
class FailureAfterResponseSpec :
    DescribeSpec({
        val handler =
            HttpHandler { call, responder ->
                when (call.path) {
                    "/whole" -> {
                        responder.respond(HttpResponse.text(200, "whole"))
                        error("intended")
                    }

                    "/stream" -> {
                        responder.startStream(200, "text/plain")
                        responder.sendPart("part".toByteArray())
                        responder.endStream()
                        error("intended")
                    }

                    "/broken" -> {
                        responder.startStream(200, "text/plain")
                        responder.sendPart("part".toByteArray())
                        error("intended")
                    }

                    "/invalid-header" -> {
                        responder.respond(HttpResponse(200, headers = mapOf("X-Stamp" to "1\r\n2")))
                    }

                    "/invalid-stream-header" -> {
                        responder.startStream(200, "text/plain", mapOf("X-Stamp" to "1\r\n2"))
                    }

                    else -> {
                        responder.respond(HttpResponse.text(200, "next"))
                    }
                }
            }
        val next = "GET /next HTTP/1.1\r\nConnection: close\r\n\r\n"

        describe("a handler that fails after its response is complete") {
            for ((path, end) in listOf("/whole" to "whole", "/stream" to "0\r\n\r\n")) {
                it("leaves the connection to the next request (response to $path)") {
                    withServer(handler) { port ->
                        val received = exchangeRaw(port, "GET $path HTTP/1.1\r\n\r\n$next")
                        received.substringBeforeLast("HTTP/1.1 ") shouldEndWith end
                        received shouldEndWith "\r\n\r\nnext"
                    }
                }
            }
        }

        describe("a handler that fails within a streamed response") {
            it("breaks the response off") {
                withServer(handler) { port ->
                    exchangeRaw(port, "GET /broken HTTP/1.1\r\n\r\n$next") shouldEndWith "4\r\npart\r\n"
                }
            }
        }

        describe("a response whose head cannot be encoded") {
            for (path in listOf("/invalid-header", "/invalid-stream-header")) {
                it("is replaced by an error ($path)") {
                    withServer(handler) { port ->
                        val received = exchangeRaw(port, "GET $path HTTP/1.1\r\n\r\n")
                        received shouldStartWith "HTTP/1.1 500"
                        received shouldContain "outcome_unknown"
                    }
                }
            }
        }
    })
