package anvilslip.entry.http

import anvilslip.kernel.EventLogger
import anvilslip.kernel.isFatal
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
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
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Server side of one connection: collects a request, passes it to [handler], and reads the next one after the response. */
internal class HttpConnection(
    private val handler: HttpHandler,
    private val options: HttpServerOptions,
    private val scope: CoroutineScope,
    private val bodies: BodyBudget = BodyBudget(),
    private val isDraining: () -> Boolean = { false },
) : ChannelInboundHandlerAdapter() {
    private var requestHead: HttpRequest? = null
    private var body: RequestBody? = null
    private var headReceivedAt: TimeMark = TimeSource.Monotonic.markNow()
    private val pending = ArrayDeque<Any>()
    private var handlerJob: Job? = null
    private var requestInProgress = false
    private var closeTimer: ScheduledFuture<*>? = null

    /** True once no further response can be sent on this connection; all input that follows is discarded. */
    private var isEnding = false

    /** True after a request was refused; the rest of its body is read and dropped, since closing before would discard the response. */
    private var isRefused = false

    override fun channelActive(ctx: ChannelHandlerContext) {
        closeAfter(ctx, options.idleTimeout)
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        closeTimer?.cancel(false)
        dropBody()
        discardInput()
        handlerJob?.cancel(CancellationException("the caller left"))
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
        if (isEnding) {
            ReferenceCountUtil.release(message)
        } else if (requestInProgress) {
            // A pipelined request is queued until the current one is answered; reading is paused to bound the queue.
            pending.addLast(message)
            ctx.channel().config().isAutoRead = false
        } else {
            process(ctx, message)
        }
    }

    private fun process(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (isRefused) {
                if (message is LastHttpContent) ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
                return
            }
            if (message is HttpRequest) onRequestHead(ctx, message)
            if (message is HttpContent) onContent(ctx, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun processPending(ctx: ChannelHandlerContext) {
        requestInProgress = false
        while (!requestInProgress && !isEnding) process(ctx, pending.removeFirstOrNull() ?: break)
        ctx.channel().config().isAutoRead = pending.isEmpty()
    }

    private fun discardInput() {
        isEnding = true
        pending.forEach(ReferenceCountUtil::release)
        pending.clear()
    }

    private fun onRequestHead(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
    ) {
        closeAfter(ctx, options.receiveTimeout)
        val cause = request.decoderResult().cause()
        when {
            cause != null -> {
                reject(ctx, request, malformedError(cause))
            }

            request.protocolVersion() !in VERSIONS || !hasSupportedFraming(request) -> {
                reject(ctx, request, ApiError(ErrorCode.MALFORMED_REQUEST, "the version or the transfer encoding is not supported"))
            }

            HttpUtil.getContentLength(request, 0L) > options.maxBodyBytes -> {
                reject(ctx, request, bodyTooLargeError())
            }

            else -> {
                startBody(ctx, request)
            }
        }
    }

    private fun startBody(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
    ) {
        val next = RequestBody(bodies, options.maxBodyBytes)
        val isExpected = HttpUtil.is100ContinueExpected(request)
        if (!next.reserve(HttpUtil.getContentLength(request, 0L).toInt())) return refuse(ctx, request, isBodyComing = !isExpected)
        requestHead = request
        headReceivedAt = TimeSource.Monotonic.markNow()
        body = next
        if (isExpected) ctx.writeAndFlush(CONTINUE.retainedDuplicate())
    }

    private fun onContent(
        ctx: ChannelHandlerContext,
        content: HttpContent,
    ) {
        val request = requestHead ?: return
        val body = body ?: return
        val cause = content.decoderResult().cause()
        when {
            cause != null -> {
                reject(ctx, request, malformedError(cause))
            }

            !body.canHold(content.content()) -> {
                reject(ctx, request, bodyTooLargeError())
            }

            !body.append(content.content()) -> {
                refuse(ctx, request, isBodyComing = content !is LastHttpContent)
            }

            content is LastHttpContent -> {
                handle(ctx, request, body)
            }
        }
    }

    private fun handle(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
        received: RequestBody,
    ) {
        requestHead = null
        closeTimer?.cancel(false)
        val uri = QueryStringDecoder(request.uri())
        val call =
            try {
                HttpServerRequest(
                    request.method().name(),
                    uri.path(),
                    uri.parameters(),
                    headersOf(request),
                    received.complete(),
                    request.uri(),
                    headReceivedAt.elapsedNow(),
                )
            } catch (e: IllegalArgumentException) {
                reject(ctx, request, malformedError(e))
                return
            }
        requestInProgress = true
        body = null
        val responder = NettyResponder(ctx, isHead(request), { HttpUtil.isKeepAlive(request) && !isDraining() }, options.writeTimeout)
        handlerJob = scope.launch { handle(ctx, call, responder) }.apply { invokeOnCompletion { received.release() } }
    }

    private suspend fun handle(
        ctx: ChannelHandlerContext,
        call: HttpServerRequest,
        responder: NettyResponder,
    ) {
        try {
            handler.handle(call, responder)
            if (!responder.isDone) throw IllegalStateException("the handler returned without sending a response")
        } catch (e: CancellationException) {
            ctx.close()
            throw e
        } catch (e: IOException) {
            log.debug("answer_failed", "error" to e.message)
            responder.abort()
        } catch (e: Throwable) {
            if (e.isFatal) throw e
            log.error("request_failed", "path" to call.path, "error" to e)
            responder.fail()
        }
        endRequest(ctx, responder)
    }

    /** Goes on with the next request. After the server has stopped there is none. */
    private fun endRequest(
        ctx: ChannelHandlerContext,
        responder: NettyResponder,
    ) {
        try {
            ctx.channel().eventLoop().execute {
                closeAfter(ctx, options.idleTimeout)
                if (responder.keepsConnection) processPending(ctx) else discardInput()
            }
        } catch (e: RejectedExecutionException) {
            log.debug("connection_ended", "error" to e.message)
        }
    }

    private fun headersOf(request: HttpRequest): Map<String, List<String>> = request.headers().groupBy({ it.key.lowercase() }, { it.value })

    private fun isHead(request: HttpRequest): Boolean = request.method() == HttpMethod.HEAD

    private fun hasSupportedFraming(request: HttpRequest): Boolean {
        val encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return encodings.isEmpty() || (encodings.size == 1 && encodings.single().equals("chunked", ignoreCase = true))
    }

    private fun closeAfter(
        ctx: ChannelHandlerContext,
        timeout: Duration,
    ) {
        closeTimer?.cancel(false)
        closeTimer = ctx.executor().schedule({ ctx.close() }, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Refuses the request that is arriving because of the other bodies; if [isBodyComing], reads the rest of its body first. */
    private fun refuse(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
        isBodyComing: Boolean,
    ) {
        log.info("body_refused", "held_bytes" to bodies.reservedBytes)
        val error = ApiError(ErrorCode.OVERLOADED, "the bodies of other requests take all memory", retryAfter = BODY_RETRY_AFTER)
        if (!isBodyComing) return reject(ctx, request, error)
        dropBody()
        isRefused = true
        ctx.writeAndFlush(toNettyResponse(error.toResponse(null), keepAlive = false, withBody = !isHead(request)))
    }

    private fun dropBody() {
        requestHead = null
        body?.release()
        body = null
    }

    private fun reject(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
        error: ApiError,
    ) {
        dropBody()
        discardInput()
        val response = error.toResponse(null)
        val nettyResponse = toNettyResponse(response, keepAlive = false, withBody = !isHead(request))
        ctx.writeAndFlush(nettyResponse).addListener(ChannelFutureListener.CLOSE)
    }

    private fun malformedError(cause: Throwable): ApiError =
        when (cause) {
            is TooLongHttpLineException -> ApiError(ErrorCode.LINE_TOO_LONG, "the request line is over ${options.maxLineBytes} bytes")
            is TooLongHttpHeaderException -> ApiError(ErrorCode.HEADERS_TOO_LARGE, "the headers are over ${options.maxHeaderBytes} bytes")
            else -> ApiError(ErrorCode.MALFORMED_REQUEST, cause.message ?: "the request is malformed")
        }

    private fun bodyTooLargeError() = ApiError(ErrorCode.BODY_TOO_LARGE, "the body is over ${options.maxBodyBytes} bytes")

    private companion object {
        val log = EventLogger("http")

        /** Covers most of the requests that hold large bodies; whole seconds, since the header has no fractions. */
        val BODY_RETRY_AFTER = 1.seconds
        val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)
        val CONTINUE = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
    }
}

/** Encodes [response]. The response to a HEAD request has no body, but the length that it would have. */
internal fun toNettyResponse(
    response: HttpResponse,
    keepAlive: Boolean,
    withBody: Boolean,
): DefaultFullHttpResponse {
    val status = HttpResponseStatus.valueOf(response.status)
    val body = if (withBody) Unpooled.wrappedBuffer(*response.parts.toTypedArray()) else Unpooled.EMPTY_BUFFER
    val nettyResponse = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
    response.headers.forEach { (name, value) -> nettyResponse.headers().set(name, value) }
    response.contentType?.let { nettyResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
    nettyResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.size)
    setConnection(nettyResponse.headers(), keepAlive)
    return nettyResponse
}

internal fun setConnection(
    headers: HttpHeaders,
    keepAlive: Boolean,
) {
    if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
}
