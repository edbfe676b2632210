package anvilslip.entry.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
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

    /** The last write; when it has ended, so have those before. */
    private var lastWrite: ChannelFuture? = null

    override suspend fun respond(response: HttpResponse) {
        try {
            check(!streaming && !isDone) { "a response was already sent" }
            writeResponse(response)
        } finally {
            response.memory?.let(::closeWhenWritten)
        }
    }

    private suspend fun writeResponse(response: HttpResponse) {
        val isKeptAlive = keepAlive()
        val message = toNettyResponse(response, isKeptAlive, withBody = !isHead)
        keepsConnection = isKeptAlive
        if (isHead || response.size <= PART_BYTES) {
            isDone = true
            return write(message, last = true)
        }
        streaming = true
        withTimeoutOrNull(writeTimeout) { writeInParts(message) } ?: closeSlow()
    }

    /** Writes [response] in parts, since each message that is written may be copied to direct memory until the caller has taken it. */
    private suspend fun writeInParts(response: DefaultFullHttpResponse) {
        write(DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers()))
        val body = response.content()
        try {
            while (body.isReadable) write(DefaultHttpContent(body.readRetainedSlice(minOf(PART_BYTES, body.readableBytes()))))
        } finally {
            body.release()
        }
        isDone = true
        write(LastHttpContent.EMPTY_LAST_CONTENT, last = true)
    }

    private fun closeWhenWritten(memory: HeldMemory) {
        lastWrite?.addListener { memory.close() } ?: memory.close()
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

    override suspend fun sendPart(
        bytes: ByteArray,
        memory: HeldMemory?,
    ) {
        try {
            check(streaming && !isDone) { "no streamed response is in progress" }
            if (!isHead) write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        } finally {
            memory?.let(::closeWhenWritten)
        }
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
        val future = ctx.writeAndFlush(message).also { lastWrite = it }
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
