package anvilslip.entry.http

import anvilslip.kernel.SystemClock
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

/** Guards against a request of which no byte was sent being reported as one that may have run, and the other way round. */
class NotSentSpec :
    DescribeSpec({
        /** A socket that accepts the first [acceptedWrites] buffers and then fails. */
        class FailingSocket(
            private val acceptedWrites: Int,
        ) : ChannelOutboundHandlerAdapter() {
            var bytes = 0
            private var writes = 0

            override fun write(
                ctx: ChannelHandlerContext,
                message: Any,
                promise: ChannelPromise,
            ) {
                if (writes++ < acceptedWrites) {
                    bytes += (message as ByteBuf).readableBytes()
                    ReferenceCountUtil.release(message)
                    promise.setSuccess()
                } else {
                    ReferenceCountUtil.release(message)
                    promise.setFailure(IOException("Broken pipe"))
                }
            }
        }

        class Fixture(
            acceptedWrites: Int,
        ) {
            val socket = FailingSocket(acceptedWrites)
            val probe = WriteProbe()
            val connection = ClientConnection(SystemClock, {}, probe) { _, _ -> }
            val channel = EmbeddedChannel(socket, probe, HttpClientCodec(), connection)

            fun send(gate: SendGate? = null): HttpClientResponse {
                val body = Unpooled.wrappedBuffer(ByteArray(BODY_BYTES))
                val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", body)
                val response = connection.send(request, Correlation("id", "1"), 1.seconds, gate)
                channel.runPendingTasks()
                return response
            }
        }

        describe("a request whose writing fails") {
            it("was not sent if the socket accepted no byte of it") {
                shouldThrow<HttpClientException.NotSent> { Fixture(acceptedWrites = 0).send().awaitHead() }
            }

            it("may have been sent if the socket accepted its head and not its body") {
                val fixture = Fixture(acceptedWrites = 1)
                shouldThrow<HttpClientException.IncompleteResponse> { fixture.send().awaitHead() }
                (fixture.socket.bytes in 1 until BODY_BYTES) shouldBe true
            }
        }

        describe("a connection that breaks after a request was written") {
            it("may have delivered it") {
                val fixture = Fixture(acceptedWrites = 10)
                val response = fixture.send()
                fixture.channel.close()
                shouldThrow<HttpClientException.IncompleteResponse> { response.awaitHead() }
            }
        }

        describe("a request whose sender has given up") {
            it("is not written") {
                val fixture = Fixture(acceptedWrites = 10)
                val gate = SendGate()
                gate.tryClose() shouldBe true
                shouldThrow<HttpClientException.NotSent> { fixture.send(gate).awaitHead() }
                fixture.socket.bytes shouldBe 0
            }

            it("is known to have been sent if that was first") {
                val gate = SendGate()
                Fixture(acceptedWrites = 10).send(gate)
                gate.tryClose() shouldBe false
            }
        }

        describe("a request that cannot be sent at all") {
            it("was not sent, whatever is wrong with its address or its headers") {
                val client = HttpClient(threads = 1)

                suspend fun open(
                    address: String,
                    headers: Map<String, String> = emptyMap(),
                ) = client.open(address, HttpClientRequest("GET", "/", headers), 1.seconds)
                ServerSocket(0).use { listening ->
                    shouldThrow<HttpClientException.NotSent> { open("127.0.0.1:70000") }
                    shouldThrow<HttpClientException.NotSent> { open("127.0.0.1:${listening.localPort}", mapOf("a" to "b\r\nc: d")) }
                }
                client.stop()
            }
        }
    }) {
    private companion object {
        /** Enough for the codec to write the body in a buffer of its own. */
        const val BODY_BYTES = 100_000
    }
}
