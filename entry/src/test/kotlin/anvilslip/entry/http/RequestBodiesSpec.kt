package anvilslip.entry.http

import anvilslip.settings.Address
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.awaitCancellation
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val MEBIBYTE = 1024 * 1024

/** Does not fill a region of the garbage collector, which counts whole regions. */
private const val LARGE = 4 * MEBIBYTE - 1024

/** Guards against a heap that is exhausted by large requests, each of which is within its own limit, from many callers at once. */
class RequestBodiesSpec :
    DescribeSpec({
        val running = AtomicInteger()
        val started = AtomicInteger()
        val handler =
            HttpHandler { call, responder ->
                started.incrementAndGet()
                running.incrementAndGet()
                try {
                    if (call.path == "/hang") awaitCancellation()
                    responder.respond(HttpResponse.text(200, "${call.body.size}"))
                } finally {
                    running.decrementAndGet()
                }
            }
        val port = ServerSocket(0).use { it.localPort }
        val server = HttpServer("test", Address("127.0.0.1", port), handler, HttpServerOptions(maxBodyBytes = 4 * MEBIBYTE), threads = 1)

        beforeSpec { server.start() }
        afterSpec { server.stop() }

        fun connect() = Socket("127.0.0.1", port).apply { soTimeout = 5000 }

        fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

        fun Socket.sendHead(
            path: String,
            length: Int,
            extra: String = "",
        ) = send("POST $path HTTP/1.1\r\nContent-Length: $length\r\n$extra\r\n")

        fun Socket.readAnswer(): String = getInputStream().readBytes().decodeToString()

        fun Socket.isRefused(): Boolean {
            soTimeout = 300
            val first =
                try {
                    getInputStream().read()
                } catch (_: SocketTimeoutException) {
                    return false
                }
            soTimeout = 5000
            return first >= 0
        }

        fun usedHeap(): Long {
            repeat(2) { System.gc() }
            return Runtime.getRuntime().run { totalMemory() - freeMemory() }
        }

        suspend fun <T> holding(
            count: Int,
            length: Int,
            action: suspend (List<Socket>) -> T,
        ): T {
            val callers = List(count) { connect().apply { sendHead("/hang", length) } }
            try {
                return action(callers)
            } finally {
                callers.forEach { it.close() }
                eventually(5.seconds) { running.get() shouldBe 0 }
            }
        }

        suspend fun <T> whileFull(action: suspend () -> T): T =
            holding(12, LARGE) { callers ->
                callers.forEach { it.isRefused() }
                action()
            }

        describe("large bodies of requests") {
            it("are refused before they are read, once their sum is too large") {
                holding(12, LARGE) { callers -> callers.count { it.isRefused() } shouldBe 8 }
                started.get() shouldBe 0
            }

            it("are refused with a delay and the statement that nothing was run") {
                whileFull {
                    connect().use {
                        it.sendHead("/", LARGE, "Expect: 100-continue\r\n")
                        val answer = it.readAnswer()
                        answer shouldStartWith "HTTP/1.1 503"
                        answer shouldContain "Retry-After: 1\r\n"
                        answer shouldContain "not_run"
                    }
                }
            }

            it("are refused with an answer that also reaches a caller that sends its whole body first") {
                whileFull {
                    connect().use {
                        it.sendHead("/", LARGE)
                        it.getOutputStream().write(ByteArray(LARGE))
                        it.readAnswer() shouldStartWith "HTTP/1.1 503"
                    }
                }
            }

            it("are refused in the middle when their length was not known") {
                whileFull {
                    connect().use {
                        it.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n")
                        it.getOutputStream().write(ByteArray(LARGE))
                        it.send("x".repeat(4 * MEBIBYTE - LARGE) + "\r\n0\r\n\r\n")
                        it.readAnswer() shouldStartWith "HTTP/1.1 503"
                    }
                }
            }

            it("leave room for small ones") {
                whileFull {
                    connect().use {
                        it.sendHead("/", 1000, "Connection: close\r\n")
                        it.getOutputStream().write(ByteArray(1000))
                        it.readAnswer() shouldStartWith "HTTP/1.1 200"
                    }
                }
            }

            it("leave room again once their callers have left, whether they arrived completely or not") {
                holding(2, LARGE) { callers ->
                    callers.first().getOutputStream().write(ByteArray(LARGE))
                    eventually(5.seconds) { running.get() shouldBe 1 }
                }
                eventually(5.seconds) { holding(4, LARGE) { callers -> callers.count { it.isRefused() } shouldBe 0 } }
            }

            it("are held once") {
                val before = usedHeap()
                holding(4, LARGE) { callers ->
                    callers.forEach { it.getOutputStream().write(ByteArray(LARGE)) }
                    eventually(5.seconds) { running.get() shouldBe 4 }
                    val taken = usedHeap() - before
                    println("heap for four bodies of 4 MiB: $taken bytes")
                    taken shouldBeLessThan 20L * MEBIBYTE
                }
            }
        }

        describe("a body in chunks") {
            it("arrives complete") {
                connect().use {
                    it.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
                    repeat(100) { _ -> it.send("1388\r\n${"x".repeat(5000)}\r\n") }
                    it.send("0\r\n\r\n")
                    it.readAnswer() shouldContain "500000"
                }
            }
        }
    })
