package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** Guards against a server whose bytes never end: they must neither pile up in memory nor hold the client past its deadline. */
class EndlessAnswerSpec :
    DescribeSpec({
        /** A server that writes [start], then [rest] again and again until the connection is closed. */
        class EndlessServer(
            private val start: (id: String) -> String,
            private val rest: String,
        ) {
            val sentBytes = AtomicLong()
            val isClosed = AtomicBoolean()
            val server =
                ScriptedServer { head, socket ->
                    val id = head.lineSequence().first { it.startsWith("id: ") }.trim()
                    write(socket, start(id))
                    null
                }

            private fun write(
                socket: Socket,
                first: String,
            ) {
                val out = socket.getOutputStream()
                val chunk = rest.repeat(maxOf(1, CHUNK_BYTES / rest.length)).toByteArray()
                try {
                    out.write(first.toByteArray())
                    while (true) {
                        out.write(chunk)
                        sentBytes.addAndGet(chunk.size.toLong())
                    }
                } catch (_: IOException) {
                    isClosed.set(true)
                }
            }
        }

        suspend fun EndlessServer.shouldBeCutOff() {
            repeat(150) { if (!isClosed.get()) delay(20) }
            isClosed.get() shouldBe true
            sentBytes.get() shouldBeLessThan MAX_BYTES
        }

        val stream = "Content-Type: text/event-stream\r\n\r\n"

        describe("an answer without end") {
            for ((name, server) in listOf(
                "in its status line" to EndlessServer({ "HTTP/1.1 200 " }, "O"),
                "in one header" to EndlessServer({ "HTTP/1.1 200 OK\r\n$it\r\nx: " }, "x"),
                "in its headers" to EndlessServer({ "HTTP/1.1 200 OK\r\n$it\r\n" }, "x: y\r\n"),
                "of informational responses" to EndlessServer({ "" }, "HTTP/1.1 100 Continue\r\n\r\n"),
                "in the body of a plain answer" to EndlessServer({ "HTTP/1.1 200 OK\r\n$it\r\n\r\n" }, "x"),
            )) {
                it("$name ends with a failure") {
                    withForwarder(listOf(server.server)) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 50" }
                    server.shouldBeCutOff()
                }
            }

            it("in an event of a stream ends with a broken response") {
                val server = EndlessServer({ "HTTP/1.1 200 OK\r\n$it\r\n$stream" }, "x")
                withForwarder(listOf(server.server)) { call, _ -> call("/stream/1") shouldStartWith "HTTP/1.1 200" }
                server.shouldBeCutOff()
            }

            it("after a whole answer does not reach the client") {
                val server = EndlessServer({ "HTTP/1.1 200 OK\r\n$it\r\nContent-Length: 3\r\n\r\nyes" }, "x")
                withForwarder(listOf(server.server)) { call, _ -> call("/once/1").substringAfter("\r\n\r\n") shouldBe "yes" }
                server.shouldBeCutOff()
            }

            it("of whole events is not read faster than the client reads it") {
                val server = EndlessServer({ "HTTP/1.1 200 OK\r\n$it\r\n$stream" }, "data: ${"x".repeat(1_000)}\n\n")
                withForwarder(listOf(server.server)) { _, port ->
                    Socket("127.0.0.1", port).use { socket ->
                        socket.getOutputStream().write("GET /stream/1 HTTP/1.1\r\nHost: h\r\nid: 7\r\nkey: k\r\n\r\n".toByteArray())
                        delay(1_500)
                    }
                    server.shouldBeCutOff()
                }
            }
        }
    }) {
    private companion object {
        const val CHUNK_BYTES = 16_384

        /** What the buffers of the sockets and of the client may hold, and a whole answer of the largest size. */
        const val MAX_BYTES = 48L * 1024 * 1024
    }
}
