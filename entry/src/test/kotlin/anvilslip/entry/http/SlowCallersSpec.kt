package anvilslip.entry.http

import anvilslip.settings.Address
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufAllocatorMetricProvider
import kotlinx.coroutines.delay
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.security.MessageDigest
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val MEBIBYTE = 1024 * 1024
private const val SMALL_WINDOW_BYTES = 8 * 1024

/** Guards against direct memory that is exhausted by copies of whole answers that callers do not read. */
class SlowCallersSpec :
    DescribeSpec({
        val answer = Random(1).nextBytes(16 * MEBIBYTE)
        val port = ServerSocket(0).use { it.localPort }
        val server =
            HttpServer("test", Address("127.0.0.1", port), { _, responder -> responder.respond(HttpResponse(200, answer)) }, threads = 1)

        beforeSpec { server.start() }
        afterSpec { server.stop() }

        fun usedDirect() = (ByteBufAllocator.DEFAULT as ByteBufAllocatorMetricProvider).metric().usedDirectMemory()

        fun ask(): Socket =
            Socket().apply {
                receiveBufferSize = SMALL_WINDOW_BYTES
                connect(InetSocketAddress("127.0.0.1", port))
                getOutputStream().write("GET / HTTP/1.1\r\nConnection: close\r\n\r\n".toByteArray())
            }

        describe("large answers") {
            it("take little direct memory while their callers do not read them") {
                val before = usedDirect()
                val callers = List(4) { ask() }
                delay(2.seconds)
                val taken = usedDirect() - before
                callers.forEach { it.close() }
                println("direct memory for four answers of 16 MiB: $taken bytes")
                taken shouldBeLessThan 4L * MEBIBYTE
            }

            it("arrive complete") {
                val received = ask().use { it.getInputStream().readBytes() }

                fun digest(bytes: ByteArray) = MessageDigest.getInstance("SHA-256").digest(bytes).toList()
                digest(received.copyOfRange(received.size - answer.size, received.size)) shouldBe digest(answer)
            }
        }
    })
