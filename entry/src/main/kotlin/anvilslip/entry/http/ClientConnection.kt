package anvilslip.entry.http

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Client side of one connection: writes a request and passes on what is received until the end of its answer. Each received message
 * is attributed on the event loop, in the order in which it was received, so that no part of an answer reaches another exchange. An
 * answer that does not name the request is skipped; the connection is used no more after it.
 */
internal class ClientConnection(
    private val clock: Clock,
    private val onForeignAnswer: (ForeignAnswer) -> Unit,
    /** Another handler of the same channel, before the codec. */
    private val probe: WriteProbe = WriteProbe(),
    /** Bounds the memory of the answers. */
    private val answers: AnswerBudget = AnswerBudget(),
    /** Called when an exchange has ended and the connection can be used again; with the time for which the server keeps it. */
    private val onIdle: (ClientConnection, serverIdleLimit: Duration?) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private enum class Phase { AWAITING_HEAD, RECEIVING, SKIPPING }

    private lateinit var context: ChannelHandlerContext

    /** The exchange in progress. Changed on the event loop alone. */
    @Volatile
    private var response: HttpClientResponse? = null
    private var correlation: Correlation? = null
    private var phase = Phase.AWAITING_HEAD
    private var head: HttpResponse? = null
    private var isWritten = false

    /** True if the answer that is being received named the request. */
    private var isNamed = false

    /** False for a request after whose answer the codec may read the next one in another way. */
    private var isShareable = true
    private var exchanges = 0
    private var endedAt: Duration? = null

    /** Hash codes of the IDs that the connection has carried. A second answer to one of them could not be told from the first. */
    private val carriedIds = HashSet<Int>()

    /** True once an answer was received that no request was waiting for; the answer to one may still be to come. */
    private var isOutOfStep = false
    private var skippedBytes = 0L

    /** Number of informational responses in a row. */
    private var informationalCount = 0

    /** True while the end of an informational response is still to come. */
    private var isInformational = false

    val isActive: Boolean get() = context.channel().isActive

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /**
     * Sends [request] and returns the response that will be received. If the connection cannot carry it, the response fails with
     * [HttpClientException.NotSent].
     */
    fun send(
        request: FullHttpRequest,
        correlation: Correlation?,
        readTimeout: Duration,
        gate: SendGate? = null,
    ): HttpClientResponse {
        lateinit var next: HttpClientResponse
        val window = ReceiveWindow { reading -> if (response === next) setReading(reading) }
        next = HttpClientResponse(readTimeout, window, answers) { abandon(next) }
        onEventLoop { begin(request, correlation, next, gate) }
        return next
    }

    fun close() {
        context.close()
    }

    /** Runs [action] on the event loop of the connection after [delay], also if the connection is closed by then. */
    fun schedule(
        delay: Duration,
        action: () -> Unit,
    ) {
        context.channel().eventLoop().schedule(action, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    private fun onEventLoop(action: () -> Unit) = context.channel().eventLoop().execute(action)

    /** Closes the connection if [abandoned] is still being received. After the event loop has ended there is none. */
    private fun abandon(abandoned: HttpClientResponse) {
        try {
            onEventLoop { if (response === abandoned) context.close() }
        } catch (e: RejectedExecutionException) {
            log.debug("connection_ended", "error" to e.message)
        }
    }

    private fun begin(
        request: FullHttpRequest,
        correlation: Correlation?,
        next: HttpClientResponse,
        gate: SendGate?,
    ) {
        val isCarried = correlation != null && !carriedIds.add(correlation.id.hashCode())
        if (response == null) discardPartialInput()
        if (response != null || isCarried || !isActive) return refuse(request, next, "the connection can carry no further request")
        if (gate?.trySend() == false) return refuse(request, next, "the sender has given up")
        response = next
        this.correlation = correlation
        isShareable = request.method() !in UNSHARED
        isNamed = false
        phase = Phase.AWAITING_HEAD
        isWritten = false
        exchanges++
        probe.hasWritten = false
        context.channel().writeAndFlush(request).addListener {
            if (it.isSuccess) isWritten = true else next.onFailure(sendFailure(it.cause()))
        }
    }

    private fun refuse(
        request: FullHttpRequest,
        next: HttpClientResponse,
        reason: String,
    ) {
        ReferenceCountUtil.release(request)
        next.onFailure(HttpClientException.NotSent(reason))
        context.close()
    }

    /** The failure of a request that was not written to its end. No more of it is written after that. */
    private fun sendFailure(cause: Throwable?): HttpClientException {
        val message = "sending failed: ${cause?.message}"
        return if (probe.hasWritten) {
            HttpClientException.IncompleteResponse(message, false, cause)
        } else {
            HttpClientException.NotSent(message, cause)
        }
    }

    /**
     * Puts a new codec in place of the one that may hold the start of another answer, which would be joined to the next one. What it
     * holds is passed to [channelRead], which closes the connection.
     */
    private fun discardPartialInput() {
        val pipeline = context.pipeline()
        if (pipeline.get(HttpClientCodec::class.java) == null) return
        // Not replace(), which would pass the partial input to the new codec.
        pipeline.remove(HttpClientCodec::class.java)
        pipeline.addBefore(context.name(), null, HttpClientCodec())
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            val current = response
            if (current == null) {
                // Data without an outstanding request cannot be matched to one, so nothing further on this connection can be trusted.
                ctx.close()
                return
            }
            if (isPartOfInformational(message)) {
                if (informationalCount > MAX_INFORMATIONAL) fail(current, "too many informational responses")
                return
            }
            if (message is HttpResponse) receiveHead(current, message)
            if (message is HttpContent && response === current) receiveContent(current, message)
            if (message !is HttpObject) fail(current, "bytes that are no answer")
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** True for the head of an informational response, and for the empty content with which the codec ends it. */
    private fun isPartOfInformational(message: Any): Boolean {
        if (message is HttpResponse) {
            isInformational = message.decoderResult().isSuccess && message.status().code() in INFORMATIONAL
            if (isInformational) informationalCount++ else informationalCount = 0
        }
        return isInformational
    }

    private fun receiveHead(
        current: HttpClientResponse,
        message: HttpResponse,
    ) {
        if (message.decoderResult().isFailure || isJoined(message)) return fail(current, "malformed answer")
        if (message.status().code() !in FINAL) return fail(current, "the status ${message.status().code()} is none of HTTP")
        if (isForeign(message)) return skip(current, message)
        phase = Phase.RECEIVING
        head = message
        isNamed = correlation?.let { message.headers()[it.header] == it.id } ?: false
        current.onHead(message)
    }

    /** True if the start of an answer was cut off and followed by another, whose status line became part of a line of the first. */
    private fun isJoined(message: HttpResponse): Boolean =
        STATUS_LINE.containsMatchIn(message.status().reasonPhrase()) || message.headers().any { STATUS_LINE.containsMatchIn(it.value) }

    /** True for an answer that may belong to an earlier exchange; there is none before the first, whose answer needs no ID. */
    private fun isForeign(message: HttpResponse): Boolean {
        val expected = correlation ?: return false
        val foundId = message.headers()[expected.header]
        if (foundId == expected.id || (foundId == null && exchanges == 1)) return false
        val address = "${context.channel().remoteAddress()}".removePrefix("/")
        val sincePrevious = endedAt?.let { clock.elapsed() - it }
        onForeignAnswer(ForeignAnswer(address, message.status().code(), expected.id, foundId, exchanges, sincePrevious))
        return true
    }

    /** Skips an answer to an earlier exchange, unless there was none, or the answer has no stated end after which another could come. */
    private fun skip(
        current: HttpClientResponse,
        message: HttpResponse,
    ) {
        isOutOfStep = true
        val isBodiless = message.status().code() in BODILESS
        val hasStatedEnd = isBodiless || HttpUtil.isContentLengthSet(message) || HttpUtil.isTransferEncodingChunked(message)
        if (exchanges == 1 || !hasStatedEnd) return fail(current, "the answer belongs to another request")
        phase = Phase.SKIPPING
    }

    private fun receiveContent(
        current: HttpClientResponse,
        message: HttpContent,
    ) {
        val cause = message.decoderResult().cause()
        if (cause != null) return fail(current, "malformed answer: ${cause.message}")
        val isLast = message is LastHttpContent
        when (phase) {
            Phase.AWAITING_HEAD -> {
                fail(current, "a body without a head")
            }

            Phase.SKIPPING -> {
                skippedBytes += message.content().readableBytes()
                if (skippedBytes > MAX_SKIPPED_BYTES) return fail(current, "too many bytes of other answers")
                if (isLast) phase = Phase.AWAITING_HEAD
            }

            Phase.RECEIVING -> {
                val bytes = ByteArray(message.content().readableBytes()).also(message.content()::readBytes)
                // Before the last part is delivered, so that the next request of the same caller finds this connection idle.
                if (isLast) end()
                current.onBody(bytes, isLast)
            }
        }
    }

    /** Ends the exchange after the last part of its answer. The connection is used again only if that answer named the request. */
    private fun end() {
        val lastHead = head
        response = null
        head = null
        endedAt = clock.elapsed()
        val isReusable = isWritten && !isOutOfStep && isNamed && isShareable && exchanges < MAX_EXCHANGES
        if (lastHead == null || !isReusable || !HttpUtil.isKeepAlive(lastHead)) {
            context.close()
            return
        }
        setReading(true)
        onIdle(this, serverIdleLimit(lastHead))
    }

    private fun serverIdleLimit(message: HttpResponse): Duration? {
        val timeout = message.headers()["keep-alive"]?.let { TIMEOUT.find(it) } ?: return null
        return timeout.groupValues[1].toLongOrNull()?.seconds
    }

    private fun setReading(reading: Boolean) {
        context.channel().config().isAutoRead = reading
    }

    private fun fail(
        current: HttpClientResponse,
        reason: String,
    ) {
        current.onFailure(reason)
        context.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        response?.onFailure("the connection was closed")
    }

    @Deprecated("Deprecated in Netty's interface")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        response?.onFailure(cause.message ?: cause.toString())
        ctx.close()
    }

    companion object {
        private val log = EventLogger("http-client")

        /** Methods whose answers have no body, or end the use of the connection for HTTP, although their heads do not say so. */
        val UNSHARED = setOf(HttpMethod.HEAD, HttpMethod.CONNECT)
        private val BODILESS = setOf(204, 304)
        private val STATUS_LINE = Regex("HTTP/1\\.[01] \\d{3}(\\s|$)")
        private val INFORMATIONAL = 100..199
        private val FINAL = 200..599

        /** More than any server sends; without a limit they could come for ever. */
        private const val MAX_INFORMATIONAL = 16

        /** Bytes of other answers that are skipped before the connection is given up. */
        private const val MAX_SKIPPED_BYTES = 1024 * 1024

        /** Exchanges of one connection; bounds the IDs that are remembered. */
        private const val MAX_EXCHANGES = 256
        private val TIMEOUT = Regex("timeout=(\\d+)")
    }
}
