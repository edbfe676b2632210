package anvilslip.entry.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration
import io.netty.handler.codec.http.HttpResponse as NettyHttpResponse

/** [HttpResponder] on a Netty connection. */
internal class NettyResponder(
    private val ctx: ChannelHandlerContext,
    /** True if a HEAD request is answered: a client would read a body as the start of its next response. */
    private val isHead: Boolean,
    private val keepAlive: () -> Boolean,
    private val writeTimeout: Duration,
) : HttpResponder {
    private var streaming = false

    /** False once the connection ends with this response, because the client was told so or because the response was aborted. */
    var keepsConnection = true
        private set

    /** True once the response was sent or aborted. */
    var isDone = false
        private set

    override suspend fun respond(response: HttpResponse) {
        check(!streaming && !isDone) { "a response was already sent" }
        val isKeptAlive = keepAlive()
        val message = toNettyResponse(response, isKeptAlive, withBody = !isHead)
        keepsConnection = isKeptAlive
        if (isHead || response.body.size <= PART_BYTES) {
            isDone = true
            return write(message, last = true)
        }
        streaming = true
        withTimeoutOrNull(writeTimeout) { writeInParts(message, response.body) } ?: closeSlow()
    }

    /** Writes [head] and [body] in parts, since each message that is written is copied to direct memory until the caller has taken it. */
    private suspend fun writeInParts(
        head: DefaultFullHttpResponse,
        body: ByteArray,
    ) {
        write(DefaultHttpResponse(head.protocolVersion(), head.status(), head.headers()))
        for (start in body.indices step PART_BYTES) {
            write(DefaultHttpContent(Unpooled.wrappedBuffer(body, start, minOf(PART_BYTES, body.size - start))))
        }
        isDone = true
        write(LastHttpContent.EMPTY_LAST_CONTENT, last = true)
    }

    override suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ) {
        check(!streaming && !isDone) { "a response was already sent" }
        val isKeptAlive = keepAlive()
        val response = newStreamHead(HttpResponseStatus.valueOf(status))
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        headers.forEach { (name, value) -> response.headers().set(name, value) }
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        if (!isHead) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnection(response.headers(), isKeptAlive)
        streaming = true
        keepsConnection = isKeptAlive
        write(response)
    }

    /** The head of a streamed response; for a HEAD request it is the complete response. */
    private fun newStreamHead(status: HttpResponseStatus): NettyHttpResponse =
        if (isHead) DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status) else DefaultHttpResponse(HttpVersion.HTTP_1_1, status)

    override suspend fun sendPart(bytes: ByteArray) {
        check(streaming && !isDone) { "no streamed response is in progress" }
        if (!isHead) write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override suspend fun endStream() {
        check(streaming && !isDone) { "no streamed response is in progress" }
        isDone = true
        write(if (isHead) Unpooled.EMPTY_BUFFER else LastHttpContent.EMPTY_LAST_CONTENT, last = true)
    }

    override fun abort() {
        isDone = true
        keepsConnection = false
        ctx.close()
    }

    /** Responds with an internal error, or aborts if the response was already started. A complete response stands. */
    fun fail() {
        if (isDone) return
        if (streaming) return abort()
        isDone = true
        keepsConnection = false
        val error = ApiError(ErrorCode.INTERNAL, "the request failed inside the system", Ran.OUTCOME_UNKNOWN)
        ctx
            .writeAndFlush(
                toNettyResponse(error.toResponse(null), keepAlive = false, withBody = !isHead),
            ).addListener(ChannelFutureListener.CLOSE)
    }

    private suspend fun write(
        message: Any,
        last: Boolean = false,
    ) {
        val future = ctx.writeAndFlush(message)
        // After a response that could not be written, the next one would be taken for it.
        future.addListener(if (last && !keepsConnection) ChannelFutureListener.CLOSE else ChannelFutureListener.CLOSE_ON_FAILURE)
        if (ctx.channel().isWritable) return
        withTimeoutOrNull(writeTimeout) { future.awaitChannel() } ?: closeSlow()
    }

    private fun closeSlow(): Nothing {
        ctx.close()
        throw IOException("the caller reads too slowly")
    }

    private companion object {
        /** As much as Netty buffers before a channel stops being writable. */
        const val PART_BYTES = 64 * 1024
    }
}
