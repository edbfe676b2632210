package anvilslip.entry.http

import anvilslip.kernel.SystemClock
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration.Companion.seconds

/** Guards against parts of an answer that reach an exchange which has just begun on the connection. */
class ClientConnectionSpec :
    DescribeSpec({
        class Fixture {
            val idle = ArrayList<ClientConnection>()
            val connection = ClientConnection(SystemClock, {}) { it, _ -> idle += it }
            val channel = EmbeddedChannel(connection)

            fun send(id: String): HttpClientResponse {
                val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
                val response = connection.send(request, Correlation("id", id), 1.seconds)
                channel.runPendingTasks()
                return response
            }

            fun receiveHead(id: String) {
                channel.writeInbound(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK).apply { headers()["id"] = id })
            }

            fun receiveEnd(body: String) {
                channel.writeInbound(DefaultLastHttpContent(Unpooled.wrappedBuffer(body.toByteArray())))
            }
        }

        describe("a connection") {
            it("fails the exchange that has begun if the rest of another answer arrives") {
                val fixture = Fixture()
                val response = fixture.send("1")
                fixture.receiveEnd("rest")
                shouldThrow<HttpClientException.IncompleteResponse> { response.awaitHead() }
                response.close()
                fixture.channel.isOpen shouldBe false
            }

            it("is idle after the last part of the answer, and is closed if more arrives then") {
                val fixture = Fixture()
                val response = fixture.send("1")
                fixture.receiveHead("1")
                fixture.receiveEnd("own")
                fixture.idle shouldHaveSize 1
                fixture.receiveHead("1")
                fixture.channel.isOpen shouldBe false
                response.awaitHead()
                response.readAll(10).use { it.text } shouldBe "own"
            }

            it("carries no further exchange after data arrived that belongs to none") {
                val fixture = Fixture()
                fixture.send("1")
                fixture.receiveHead("1")
                fixture.receiveEnd("own")
                fixture.receiveHead("1")
                val next = fixture.send("2")
                shouldThrow<HttpClientException.NotSent> { next.awaitHead() }
            }
        }
    })
