package anvilslip.gateway

import anvilslip.entry.http.AnswerBudget
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveAtLeastSize
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.security.MessageDigest
import kotlin.time.Duration.Companion.seconds

private const val MEBIBYTE = 1024 * 1024

/** Guards against places where answers of servers are kept without counting in their sum, and against memory that is never given back. */
class AnswerMemorySpec :
    DescribeSpec({
        val largest = ByteArray(16 * MEBIBYTE) { ('a'.code + it % 23).toByte() }

        fun digest(bytes: ByteArray) = MessageDigest.getInstance("SHA-256").digest(bytes).toList()

        /** Answers by the path of the request: whole, in parts of one byte, with an error, without end, or as a stream without end. */
        fun server() =
            ScriptedServer { head, socket ->
                val out = socket.getOutputStream()
                val id = head.lineSequence().first { it.startsWith("id: ") }.trim()
                val path = head.substringBefore(" HTTP/").substringAfterLast('/')
                val length = path.filter { it.isDigit() }.ifEmpty { "0" }.toInt()
                try {
                    when {
                        path.startsWith("whole") -> {
                            out.write("HTTP/1.1 200 OK\r\n$id\r\nContent-Length: $length\r\n\r\n".toByteArray())
                            out.write(largest, 0, minOf(length, largest.size))
                        }

                        path.startsWith("crumbs") -> {
                            out.write("HTTP/1.1 200 OK\r\n$id\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray())
                            out.write("1\r\nx\r\n".repeat(length).toByteArray())
                            out.write("0\r\n\r\n".toByteArray())
                        }

                        path.startsWith("failure") -> {
                            out.write("HTTP/1.1 500 Broken\r\n$id\r\nContent-Length: $length\r\n\r\n".toByteArray())
                            out.write(largest, 0, minOf(length, largest.size))
                        }

                        path.startsWith("endless") -> {
                            out.write("HTTP/1.1 200 OK\r\n$id\r\n\r\n".toByteArray())
                            while (true) out.write(largest, 0, MEBIBYTE)
                        }

                        else -> {
                            out.write("HTTP/1.1 200 OK\r\n$id\r\nContent-Type: text/event-stream\r\n\r\n".toByteArray())
                            val event = "data: ${"x".repeat(100_000)}\n\n".toByteArray()
                            while (true) out.write(event)
                        }
                    }
                } catch (_: IOException) {
                    // The answer was given up.
                }
                null
            }

        /** Asks for [path] and reads nothing. */
        fun ask(
            port: Int,
            path: String,
        ): Socket =
            Socket().apply {
                receiveBufferSize = 8 * 1024
                connect(InetSocketAddress("127.0.0.1", port))
                getOutputStream().write("GET $path HTTP/1.1\r\nHost: h\r\nid: 7\r\nkey: k\r\n\r\n".toByteArray())
            }

        fun Socket.readStatus(): String? {
            soTimeout = 200
            return try {
                getInputStream().readNBytes("HTTP/1.1 200".length).decodeToString()
            } catch (_: SocketTimeoutException) {
                null
            }
        }

        class Play(
            val call: (String) -> String,
            val port: Int,
            val answers: AnswerBudget,
        )

        /** Runs [action], and checks that the memory was within the bound all the time and is all given back after that. */
        suspend fun withinBound(
            capacity: Long = AnswerBudget.DEFAULT_CAPACITY_BYTES,
            action: suspend Play.() -> Unit,
        ) {
            val answers = AnswerBudget(capacity)
            withForwarder(listOf(server()), answers = answers) { call, port ->
                coroutineScope {
                    val watch =
                        async {
                            var largestSum = 0L
                            while (true) {
                                largestSum = maxOf(largestSum, answers.heldBytes)
                                largestSum shouldBeLessThanOrEqual capacity
                                delay(1)
                            }
                        }
                    Play(call, port, answers).action()
                    eventually(10.seconds) { answers.heldBytes shouldBe 0 }
                    watch.cancel()
                }
            }
        }

        fun bodyOf(answer: String) = answer.substringAfter("\r\n\r\n")

        describe("a sound answer of the largest size") {
            it("passes whole") {
                withinBound {
                    digest(bodyOf(call("/patient/whole${largest.size}")).toByteArray(Charsets.ISO_8859_1)) shouldBe digest(largest)
                }
            }

            it("passes while other servers answer without end") {
                withinBound {
                    coroutineScope {
                        val endless = List(12) { async(Dispatchers.IO) { runCatching { call("/patient/endless") } } }
                        repeat(3) {
                            val answer = call("/patient/whole${largest.size}")
                            digest(bodyOf(answer).toByteArray(Charsets.ISO_8859_1)) shouldBe digest(largest)
                        }
                        endless.forEach { it.await() }
                    }
                }
            }

            it("does not pass if its head states more than is kept, and its caller is told at once") {
                withinBound { call("/patient/whole${largest.size + 1}") shouldStartWith "HTTP/1.1 502" }
            }
        }

        describe("an answer in many small parts") {
            it("passes whole") {
                withinBound(capacity = 2L * MEBIBYTE) { bodyOf(call("/patient/crumbs100000")).filter { it == 'x' }.length shouldBe 100_000 }
            }
        }

        describe("a large answer with a failure") {
            it("is passed on and its memory is given back") {
                withinBound {
                    val answer = call("/again/failure5000000")
                    answer shouldStartWith "HTTP/1.1 500"
                    bodyOf(answer).length shouldBe 5_000_000
                }
            }
        }

        describe("whole answers to callers that do not read them") {
            it("count until they are written, and leave room for small ones") {
                withinBound {
                    val callers = List(6) { ask(port, "/patient/whole${14 * MEBIBYTE}") }
                    delay(2.seconds)
                    val refused = callers.filter { it.readStatus() == "HTTP/1.1 502" }
                    refused shouldHaveAtLeastSize 4
                    call("/once/whole1000") shouldEndWith largest.decodeToString(0, 1000)
                    callers.forEach { it.close() }
                }
            }
        }

        describe("streams to callers that do not read them") {
            it("count until they are written") {
                withinBound(capacity = 2L * MEBIBYTE) {
                    val callers = List(12) { ask(port, "/stream/events") }
                    delay(1.seconds)
                    callers.forEach { it.close() }
                }
            }
        }
    })
