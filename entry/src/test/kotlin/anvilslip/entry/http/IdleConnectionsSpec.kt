package anvilslip.entry.http

import anvilslip.kernel.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import java.net.InetAddress
import java.net.ServerSocket
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
        }
    }) {
    /** A server that counts its open connections and names in each answer the request that it belongs to. */
    private class CountingServer : AutoCloseable {
        private val socket = ServerSocket(0, REQUESTS, InetAddress.getByName("127.0.0.1"))
        val openConnections = AtomicInteger()
        val address: String get() = "127.0.0.1:${socket.localPort}"

        init {
            thread(isDaemon = true) {
                while (!socket.isClosed) {
                    val connection = runCatching { socket.accept() }.getOrNull() ?: break
                    openConnections.incrementAndGet()
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
                write("HTTP/1.1 200 OK\r\nid: $id\r\ncontent-length: 0\r\n\r\n".toByteArray())
            }
        }

        override fun close() = socket.close()
    }

    private companion object {
        const val REQUESTS = 20
        val MAX_IDLE = 200.milliseconds

        fun request(id: String) =
            HttpClientRequest("POST", "/", mapOf("id" to id), freshConnection = true, correlation = Correlation("id", id))
    }
}
