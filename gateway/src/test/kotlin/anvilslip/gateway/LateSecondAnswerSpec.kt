package anvilslip.gateway

import anvilslip.entry.http.Correlation
import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Guards against a late second answer of a server being taken for the answer to the next exchange on the connection. */
class LateSecondAnswerSpec :
    DescribeSpec({
        fun idOf(head: String) = head.lineSequence().firstOrNull { it.startsWith("id: ") }?.substringAfter(": ")

        fun answer(
            body: String,
            id: String?,
        ): String {
            val idLine = id?.let { "id: $it\r\n" }.orEmpty()
            return "HTTP/1.1 200 OK\r\n${idLine}Content-Length: ${body.length}\r\n\r\n$body"
        }

        /** A server that answers with the path, and before its answer to the second request on a connection sends what [late] returns. */
        fun serverWith(late: (firstId: String?, socket: Socket) -> String): ScriptedServer {
            val firstIds = HashMap<Socket, String?>()
            return ScriptedServer { head, socket ->
                val own = answer(head.substringAfter(' ').substringBefore(' '), idOf(head))
                val prefix = if (socket in firstIds) late(firstIds[socket], socket) else ""
                firstIds.putIfAbsent(socket, idOf(head))
                prefix + own
            }
        }

        suspend fun withClient(action: suspend (get: suspend (path: String, id: String?) -> String) -> Unit) {
            val client = HttpClient(threads = 1)
            action { path, id ->
                val headers = id?.let { mapOf("id" to it) }.orEmpty()
                val request = HttpClientRequest("GET", path, headers, correlation = id?.let { Correlation("id", it) })
                client.exchange("127.0.0.1:${path.substringAfter(':')}", request, 2.seconds).body.decodeToString()
            }
            client.stop()
        }

        suspend fun ScriptedServer.run(action: suspend (get: suspend (path: String, id: String?) -> String) -> Unit) =
            use {
                val port = address.substringAfter(':')
                withClient { get -> action { path, id -> get("/$path:$port", id).substringBefore(':') } }
            }

        describe("a second answer that comes before the answer to the next request on the connection") {
            for ((name, late) in mapOf<String, (String?, Socket) -> String>(
                "names the request before" to { id, _ -> answer("/late", id) },
                "names no request" to { _, _ -> answer("/late", null) },
                "comes in parts" to { id, socket ->
                    val whole = answer("/late", id)
                    socket.getOutputStream().write(whole.dropLast(8).toByteArray())
                    Thread.sleep(50)
                    whole.takeLast(8)
                },
            )) {
                it("is skipped if it $name, and the connection is not used again") {
                    serverWith(late).let { server ->
                        server.run { get ->
                            get("one", "1") shouldBe "/one"
                            get("two", "2") shouldBe "/two"
                            get("three", "3") shouldBe "/three"
                        }
                        server.connections shouldHaveSize 2
                    }
                }
            }

            it("ends the exchange at once if its own end cannot be known") {
                val late = { _: String?, _: Socket -> "HTTP/1.1 200 OK\r\nid: 0\r\n\r\n" }
                serverWith(late).run { get ->
                    get("one", "1") shouldBe "/one"
                    measureTime {
                        shouldThrow<HttpClientException.IncompleteResponse> {
                            get(
                                "two",
                                "2",
                            )
                        }
                    }.inWholeMilliseconds shouldBeLessThan
                        1_000
                }
            }
        }

        // Guards against a status line that becomes part of a line of another answer, so that a failure looks like a success.
        describe("a second answer that is cut in its head") {
            val failure = { head: String -> "HTTP/1.1 500 Failed\r\nid: ${idOf(head)}\r\nContent-Length: 0\r\n\r\n" }

            suspend fun statusOfSecond(
                cut: String,
                isLate: Boolean,
            ): Int? {
                var requests = 0
                val server =
                    ScriptedServer { head, _ ->
                        when {
                            ++requests == 1 -> answer("one", idOf(head)) + (if (isLate) "" else cut)
                            isLate -> cut + failure(head)
                            else -> failure(head)
                        }
                    }
                val client = HttpClient(threads = 1)

                suspend fun get(id: String): Int? =
                    try {
                        val request = HttpClientRequest("GET", "/", mapOf("id" to id), correlation = Correlation("id", id))
                        client.exchange(server.address, request, 2.seconds).status
                    } catch (_: HttpClientException.IncompleteResponse) {
                        null
                    }
                get("1") shouldBe 200
                return get("2").also {
                    client.stop()
                    server.close()
                }
            }

            for (cut in listOf("HTTP/1.1 200 O", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nDate: x", "HTTP/1.1 200 OK\r\n")) {
                val text = cut.replace("\r\n", " / ")
                it("does not change the status of the answer behind it if it came at once: '$text'") {
                    statusOfSecond(cut, isLate = false) shouldBe 500
                }

                it("fails the exchange if it came late: '$text'") {
                    statusOfSecond(cut, isLate = true) shouldBe null
                }
            }
        }

        describe("the first answer on a connection") {
            it("ends the exchange at once if it does not name the request") {
                ScriptedServer { _, _ -> answer("/other", "0") }.run { get ->
                    measureTime {
                        shouldThrow<HttpClientException.IncompleteResponse> {
                            get(
                                "one",
                                "1",
                            )
                        }
                    }.inWholeMilliseconds shouldBeLessThan
                        1_000
                }
            }
        }

        describe("a request whose answer does not name it") {
            it("shares its connection with no other request, before or after it") {
                serverWith { _, _ -> answer("/late", null) }.let { server ->
                    server.run { get ->
                        get("one", "1") shouldBe "/one"
                        get("two", null) shouldBe "/two"
                        get("three", null) shouldBe "/three"
                        get("four", "4") shouldBe "/four"
                    }
                    server.connections shouldHaveSize 3
                }
            }
        }

        describe("a request with an ID that its connection carried before") {
            // Guards against an ID that a repeated request shares with the request before.
            it("gets another connection") {
                serverWith { id, _ -> answer("/late", id) }.run { get ->
                    get("one", "1") shouldBe "/one"
                    get("two", "1") shouldBe "/two"
                }
            }
        }
    })
