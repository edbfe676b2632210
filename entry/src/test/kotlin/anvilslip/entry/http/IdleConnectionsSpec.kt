package anvilslip.entry.http

import anvilslip.kernel.SystemClock
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against connections that are kept although no request can use them. A server limits the connections of all entry instances
 * together and resets those beyond its limit; a request that may run only once is lost with its connection.
 */
class IdleConnectionsSpec :
    DescribeSpec({
        describe("a client whose requests each need a new connection") {
            it("keeps no connection for longer than the longest idle time") {
                CountingServer().use { server ->
                    val client = HttpClient(clock = SystemClock, threads = 1, maxIdle = MAX_IDLE)
                    repeat(REQUESTS) { client.exchange(server.address, request("$it"), 5.seconds).status shouldBe 200 }
                    delay(MAX_IDLE * 5)
                    server.openConnections.get() shouldBe 0
                    client.stop()
                }
            }

            it("keeps no connection at all while no other request asks for one") {
                CountingServer().use { server ->
                    val client = HttpClient(clock = SystemClock, threads = 1)
                    repeat(REQUESTS) { client.exchange(server.address, request("$it"), 5.seconds).status shouldBe 200 }
                    eventually(PATIENCE) { server.openConnections.get() shouldBe 0 }
                    client.stop()
                }
            }

            it("keeps one for requests that use idle connections") {
                CountingServer().use { server ->
                    val client = HttpClient(clock = SystemClock, threads = 1)
                    client.exchange(server.address, reusing("first"), 5.seconds)
                    repeat(REQUESTS) { client.exchange(server.address, request("$it"), 5.seconds) }
                    client.exchange(server.address, reusing("last"), 5.seconds)
                    eventually(PATIENCE) { server.openConnections.get() shouldBe 1 }
                    server.accepted.get() shouldBe REQUESTS + 1
                    client.stop()
                }
            }
        }

        describe("a client whose requests use idle connections") {
            it("sends them on one connection and closes it after the longest idle time") {
                CountingServer().use { server ->
                    val client = HttpClient(clock = SystemClock, threads = 1, maxIdle = 1.seconds)
                    repeat(REQUESTS) { client.exchange(server.address, reusing("$it"), 5.seconds).status shouldBe 200 }
                    server.accepted.get() shouldBe 1
                    server.openConnections.get() shouldBe 1
                    eventually(PATIENCE) { server.openConnections.get() shouldBe 0 }
                    client.stop()
                }
            }

            it("keeps as many as the requests allow") {
                CountingServer(answersAfter = REQUESTS).use { server ->
                    val client = HttpClient(clock = SystemClock, threads = 1)
                    coroutineScope { repeat(REQUESTS) { launch { client.exchange(server.address, reusing("$it"), 5.seconds) } } }
                    server.accepted.get() shouldBe REQUESTS
                    eventually(PATIENCE) { server.openConnections.get() shouldBe KEPT }
                    client.stop()
                }
            }
        }
    }) {
    /**
     * A server that counts its open connections and names in each answer the request that it belongs to. It answers once
     * [answersAfter] connections have been opened.
     */
    private class CountingServer(
        answersAfter: Int = 1,
    ) : AutoCloseable {
        private val socket = ServerSocket(0, REQUESTS, InetAddress.getByName("127.0.0.1"))
        val openConnections = AtomicInteger()
        val accepted = AtomicInteger()
        private val awaited = CountDownLatch(answersAfter)
        val address: String get() = "127.0.0.1:${socket.localPort}"

        init {
            thread(isDaemon = true) {
                while (!socket.isClosed) {
                    val connection = runCatching { socket.accept() }.getOrNull() ?: break
                    openConnections.incrementAndGet()
                    accepted.incrementAndGet()
                    awaited.countDown()
                    thread(isDaemon = true) {
                        runCatching {
                            connection.use {
                                serve(
                                    it.getInputStream().bufferedReader()::readLine,
                                    it.getOutputStream()::write,
                                )
                            }
                        }
                        openConnections.decrementAndGet()
                    }
                }
            }
        }

        private fun serve(
            readLine: () -> String?,
            write: (ByteArray) -> Unit,
        ) {
            while (true) {
                val head = generateSequence { readLine()?.takeIf { it.isNotEmpty() } }.toList().ifEmpty { return }
                val id = head.first { it.startsWith("id:", ignoreCase = true) }.substringAfter(':').trim()
                awaited.await()
                write("HTTP/1.1 200 OK\r\nid: $id\r\ncontent-length: 0\r\n\r\n".toByteArray())
            }
        }

        override fun close() = socket.close()
    }

    private companion object {
        const val REQUESTS = 20
        const val KEPT = 3
        val MAX_IDLE = 200.milliseconds
        val PATIENCE = 5.seconds

        fun reusing(id: String) = HttpClientRequest("POST", "/", mapOf("id" to id), correlation = Correlation("id", id), maxIdle = KEPT)

        fun request(id: String) =
            HttpClientRequest("POST", "/", mapOf("id" to id), freshConnection = true, correlation = Correlation("id", id))
    }
}
