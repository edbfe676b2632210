package anvilslip.entry.http

import anvilslip.settings.Address
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HttpServerSpec :
    DescribeSpec({
        val port = ServerSocket(0).use { it.localPort }
        val handlerStarted = CompletableDeferred<Unit>()
        val handlerCancelled = CompletableDeferred<Unit>()
        val handler =
            HttpHandler { call, responder ->
                if (call.path == "/hang") {
                    handlerStarted.complete(Unit)
                    try {
                        awaitCancellation()
                    } catch (e: CancellationException) {
                        handlerCancelled.complete(Unit)
                        throw e
                    }
                }
                responder.respond(HttpResponse.text(200, "${call.method} ${call.path} ${call.body.size}"))
            }
        val server =
            HttpServer(
                "test",
                Address("127.0.0.1", port),
                handler,
                HttpServerOptions(maxBodyBytes = 1000, maxHeaderBytes = 1000, maxLineBytes = 500),
            )

        beforeSpec { server.start() }
        afterSpec { server.stop() }

        fun exchange(request: String): String =
            Socket("127.0.0.1", port).use {
                it.soTimeout = 5000
                it.getOutputStream().write(request.toByteArray())
                it.getInputStream().readBytes().decodeToString()
            }

        describe("a server whose listening channel is closed by a failure") {
            // Guards against a process that counts as running but accepts no connection any more.
            it("listens again") {
                server.channel?.close()?.awaitChannel()
                val answer =
                    withTimeoutOrNull(5.seconds) {
                        var text: String? = null
                        while (text == null) {
                            delay(20.milliseconds)
                            text =
                                try {
                                    exchange("GET /again HTTP/1.1\r\nConnection: close\r\n\r\n")
                                } catch (_: IOException) {
                                    null
                                }
                        }
                        text
                    }
                answer shouldContain "GET /again 0"
            }
        }

        describe("valid requests") {
            it("are answered") { exchange("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n") shouldContain "GET /a 0" }

            it("are answered in order when pipelined on one connection") {
                val both = exchange("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")
                both.indexOf("GET /1") shouldBe both.indexOf("GET /").also { check(it >= 0) }
                both shouldContain "GET /2"
            }
        }

        describe("invalid requests") {
            for ((what, request, status) in listOf(
                Triple("garbage", "\u0001\u0002\u0003\r\n\r\n", 400),
                Triple("a request line that is too long", "GET /${"x".repeat(600)} HTTP/1.1\r\n\r\n", 414),
                Triple("headers that are too large", "GET / HTTP/1.1\r\nA: ${"x".repeat(1100)}\r\n\r\n", 431),
                Triple("a body that is too large", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413),
                Triple(
                    "a chunked body that is too large",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n${"x".repeat(2000)}\r\n0\r\n\r\n",
                    413,
                ),
                Triple(
                    "a length and chunked encoding",
                    "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    400,
                ),
                Triple("two Content-Length headers", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
                Triple("a negative Content-Length", "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", 400),
                Triple("an invalid chunk size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
            )) {
                it("get status $status and not_run for $what") {
                    val answer = exchange(request)
                    answer shouldStartWith "HTTP/1.1 $status"
                    answer shouldContain "not_run"
                }
            }
        }

        describe("a client that closes the connection") {
            it("has its request cancelled") {
                Socket("127.0.0.1", port).use {
                    it.getOutputStream().write("GET /hang HTTP/1.1\r\n\r\n".toByteArray())
                    handlerStarted.await()
                }
                (withTimeoutOrNull(5.seconds) { handlerCancelled.await() } != null) shouldBe true
            }
        }
    })
