package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

/** Guards against a resumed stream that is broken off, or joined to another, when its server sends a second copy of an earlier stream. */
class ResumedStreamSpec :
    DescribeSpec({
        fun idOf(head: String) =
            head
                .lineSequence()
                .first { it.startsWith("id: ") }
                .substring(4)
                .trim()

        fun event(
            id: String,
            number: Int,
        ) = "id: $number\ndata: $id-$number\n\n"

        fun streamResponse(
            id: String?,
            events: String,
            end: String = "0\r\n\r\n",
        ): String {
            val idHeader = id?.let { "id: $it\r\n" }.orEmpty()
            val size = events.length.toString(16)
            val headers = "${idHeader}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            return "HTTP/1.1 200 OK\r\n$headers\r\n$size\r\n$events\r\n$end"
        }

        /** Sends the first event, and the next one in part. */
        fun breakingServer() =
            ScriptedServer { head, socket ->
                val id = idOf(head)
                socket.getOutputStream().write(streamResponse(id, event(id, 1) + "id: 2\nda", end = "").toByteArray())
                socket.close()
                null
            }

        /** Sends the rest of each stream, and before it on the same connection [copy] of the request before. */
        fun resumingServer(copy: (id: String) -> String): ScriptedServer {
            val previousIds = ConcurrentHashMap<Socket, String>()
            return ScriptedServer { head, socket ->
                val id = idOf(head)
                previousIds.put(socket, id)?.let { socket.getOutputStream().write(copy(it).toByteArray()) }
                streamResponse(id, event(id, 2) + event(id, 3))
            }
        }

        fun call(
            port: Int,
            id: String,
        ): String =
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write("GET /resume/1 HTTP/1.1\r\nHost: h\r\nid: $id\r\nConnection: close\r\n\r\n".toByteArray())
                socket.getInputStream().readBytes().decodeToString()
            }

        fun String.events() = lineSequence().filter { it.startsWith("data: ") }.toList()

        for ((what, hasId) in listOf("with its ID" to true, "without an ID" to false)) {
            describe("a server that sends a second copy of the stream before, $what, ahead of a resumed stream") {
                it("has the resumed stream completed with its own events") {
                    val resuming = resumingServer { id -> streamResponse(id.takeIf { hasId }, event(id, 2) + event(id, 3)) }
                    withForwarder(listOf(breakingServer(), resuming)) { _, port ->
                        for (id in listOf("6", "7")) {
                            val answer = call(port, id)
                            answer.events() shouldBe List(3) { "data: $id-${it + 1}" }
                            answer shouldEndWith "0\r\n\r\n"
                        }
                    }
                }
            }
        }

        describe("a client that resumes a stream of which nobody knows where it began") {
            // Guards against a text that is joined from two software versions: that one of them runs now does not show that it began the stream.
            it("is told at once that the request was not run") {
                val server = ScriptedServer { head, _ -> idOf(head).let { streamResponse(it, event(it, 2)) } }
                withForwarder(listOf(server)) { _, port ->
                    val answer =
                        Socket("127.0.0.1", port).use { socket ->
                            socket.soTimeout = 5_000
                            val head = "GET /resume/1 HTTP/1.1\r\nHost: h\r\nid: 9\r\nresumes: 8\r\nlast: 1\r\nConnection: close\r\n\r\n"
                            socket.getOutputStream().write(head.toByteArray())
                            socket.getInputStream().readBytes().decodeToString()
                        }
                    answer shouldStartWith "HTTP/1.1 503"
                    answer.events() shouldBe emptyList()
                }
            }
        }

        describe("a server that resumes a stream from its first event") {
            it("has no event passed on twice") {
                val restarting = ScriptedServer { head, _ -> idOf(head).let { streamResponse(it, event(it, 1) + event(it, 2)) } }
                withForwarder(listOf(breakingServer(), restarting)) { _, port ->
                    call(port, "6").events() shouldBe listOf("data: 6-1", "data: 6-2")
                }
            }
        }
    })
