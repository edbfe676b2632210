package anvilslip.entry

import anvilslip.kernel.EventLogger
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** One connection of a caller: gathers a request, has it handled, and reads on once it is answered. */
internal class HttpConnection(
    private val handler: HttpHandler,
    private val options: HttpServerOptions,
    private val scope: CoroutineScope,
    private val isDraining: () -> Boolean = { false },
) : ChannelInboundHandlerAdapter() {
    private var head: HttpRequest? = null
    private var body: ByteBuf = Unpooled.EMPTY_BUFFER
    private val pending = ArrayDeque<Any>()
    private var handling: Job? = null
    private var busy = false
    private var deadline: ScheduledFuture<*>? = null

    override fun channelActive(ctx: ChannelHandlerContext) {
        closeAfter(ctx, options.idleTimeout)
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        deadline?.cancel(false)
        body.release()
        body = Unpooled.EMPTY_BUFFER
        pending.forEach(ReferenceCountUtil::release)
        pending.clear()
        handling?.cancel(CancellationException("the caller left"))
        ctx.fireChannelInactive()
    }

    @Deprecated("Deprecated in Netty's interface")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        log.debug("connection_failed", "error" to cause)
        ctx.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (busy) {
            // A pipelined request waits for the one before it; reading stops so that little is held.
            pending.addLast(message)
            ctx.channel().config().isAutoRead = false
        } else {
            take(ctx, message)
        }
    }

    private fun take(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpRequest) onHead(ctx, message)
            if (message is HttpContent) onContent(ctx, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun takePending(ctx: ChannelHandlerContext) {
        busy = false
        while (!busy) take(ctx, pending.removeFirstOrNull() ?: break)
        ctx.channel().config().isAutoRead = pending.isEmpty()
    }

    private fun onHead(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
    ) {
        closeAfter(ctx, options.receiveTimeout)
        val cause = request.decoderResult().cause()
        when {
            cause != null -> {
                refuse(ctx, malformed(cause))
            }

            request.protocolVersion() !in VERSIONS || !isFramedPlainly(request) -> {
                refuse(ctx, ApiError(ErrorCode.MALFORMED_REQUEST, "the version or the transfer encoding is not supported"))
            }

            HttpUtil.getContentLength(request, 0L) > options.maxBodyBytes -> {
                refuse(ctx, tooLarge())
            }

            else -> {
                head = request
                body.release()
                body = Unpooled.buffer()
                if (HttpUtil.is100ContinueExpected(request)) ctx.writeAndFlush(CONTINUE.retainedDuplicate())
            }
        }
    }

    private fun onContent(
        ctx: ChannelHandlerContext,
        content: HttpContent,
    ) {
        val request = head ?: return
        val cause = content.decoderResult().cause()
        when {
            cause != null -> {
                refuse(ctx, malformed(cause))
            }

            body.readableBytes() + content.content().readableBytes() > options.maxBodyBytes -> {
                refuse(ctx, tooLarge())
            }

            else -> {
                body.writeBytes(content.content())
                if (content is LastHttpContent) handle(ctx, request)
            }
        }
    }

    private fun handle(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
    ) {
        head = null
        deadline?.cancel(false)
        val bytes = ByteArray(body.readableBytes()).also(body::readBytes)
        val uri = QueryStringDecoder(request.uri())
        val call =
            try {
                HttpServerRequest(request.method().name(), uri.path(), uri.parameters(), headersOf(request), bytes, request.uri())
            } catch (e: IllegalArgumentException) {
                refuse(ctx, malformed(e))
                return
            }
        busy = true
        val responder = NettyResponder(ctx, { HttpUtil.isKeepAlive(request) && !isDraining() }, options.writeTimeout)
        handling = scope.launch { handle(ctx, call, responder) }
    }

    private suspend fun handle(
        ctx: ChannelHandlerContext,
        call: HttpServerRequest,
        responder: NettyResponder,
    ) {
        try {
            handler.handle(call, responder)
            if (!responder.isDone) throw IllegalStateException("no answer was given")
        } catch (e: CancellationException) {
            ctx.close()
            throw e
        } catch (e: IOException) {
            log.debug("answer_failed", "error" to e.message)
            ctx.close()
        } catch (e: Exception) {
            log.error("request_failed", "path" to call.path, "error" to e)
            responder.fail()
        }
        ctx.channel().eventLoop().execute {
            closeAfter(ctx, options.idleTimeout)
            takePending(ctx)
        }
    }

    private fun headersOf(request: HttpRequest): Map<String, List<String>> = request.headers().groupBy({ it.key.lowercase() }, { it.value })

    private fun isFramedPlainly(request: HttpRequest): Boolean {
        val encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return encodings.isEmpty() || (encodings.size == 1 && encodings.single().equals("chunked", ignoreCase = true))
    }

    private fun closeAfter(
        ctx: ChannelHandlerContext,
        timeout: Duration,
    ) {
        deadline?.cancel(false)
        deadline = ctx.executor().schedule({ ctx.close() }, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun refuse(
        ctx: ChannelHandlerContext,
        error: ApiError,
    ) {
        head = null
        val answer = error.toResponse(null)
        val response = fullResponse(answer, keepAlive = false)
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun malformed(cause: Throwable): ApiError =
        when (cause) {
            is TooLongHttpLineException -> ApiError(ErrorCode.LINE_TOO_LONG, "the request line is over ${options.maxLineBytes} bytes")
            is TooLongHttpHeaderException -> ApiError(ErrorCode.HEADERS_TOO_LARGE, "the headers are over ${options.maxHeaderBytes} bytes")
            else -> ApiError(ErrorCode.MALFORMED_REQUEST, cause.message ?: "the request is malformed")
        }

    private fun tooLarge() = ApiError(ErrorCode.BODY_TOO_LARGE, "the body is over ${options.maxBodyBytes} bytes")

    private companion object {
        val log = EventLogger("http")
        val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)
        val CONTINUE = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
    }
}

internal fun fullResponse(
    answer: HttpResponse,
    keepAlive: Boolean,
): DefaultFullHttpResponse {
    val status = HttpResponseStatus.valueOf(answer.status)
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(answer.body))
    answer.headers.forEach { (name, value) -> response.headers().set(name, value) }
    answer.contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
    setConnection(response.headers(), keepAlive)
    return response
}

internal fun setConnection(
    headers: HttpHeaders,
    keepAlive: Boolean,
) {
    if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
}
