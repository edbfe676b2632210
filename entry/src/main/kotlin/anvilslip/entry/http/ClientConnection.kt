package anvilslip.entry.http

import anvilslip.kernel.Clock
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration

/** Client side of one connection; passes received data to the response in progress. */
internal class ClientConnection(
    private val clock: Clock,
    private val onForeignAnswer: (ForeignAnswer) -> Unit,
) : ChannelInboundHandlerAdapter() {
    @Volatile
    private var response: HttpClientResponse? = null

    @Volatile
    private var context: ChannelHandlerContext? = null

    @Volatile
    private var correlation: Correlation? = null

    @Volatile
    private var exchanges = 0

    /** When the latest exchange began and the one before it ended. */
    @Volatile
    private var endedAt: Duration? = null

    @Volatile
    private var sincePrevious: Duration? = null

    /** Number of informational responses in a row. */
    private var informationalCount = 0

    /** True while the end of an informational response is still to come. */
    private var isInformational = false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Starts an exchange; [onReusable] is called when it has ended and the connection can be reused. */
    fun beginExchange(
        readTimeout: Duration,
        correlation: Correlation?,
        onReusable: (serverIdleLimit: Duration?) -> Unit,
    ): HttpClientResponse {
        // The answer before may have been closed unread, with the connection paused.
        setReading(true)
        this.correlation = correlation
        exchanges++
        sincePrevious = endedAt?.let { clock.elapsed() - it }
        val next =
            HttpClientResponse(readTimeout, ReceiveWindow(::setReading)) { reusable, serverIdleLimit ->
                response = null
                endedAt = clock.elapsed()
                if (reusable) onReusable(serverIdleLimit) else context?.close()
            }
        response = next
        return next
    }

    private fun setReading(reading: Boolean) {
        context?.channel()?.config()?.isAutoRead = reading
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
                if (informationalCount > MAX_INFORMATIONAL) fail(ctx, current, "too many informational responses")
                return
            }
            if (current.isComplete) {
                current.onExcessBytes()
                ctx.close()
                return
            }
            if (message is HttpResponse) {
                reportIfForeign(ctx, message)
                current.onHead(message)
            }
            if (message is HttpContent) receiveContent(ctx, current, message)
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

    private fun reportIfForeign(
        ctx: ChannelHandlerContext,
        head: HttpResponse,
    ) {
        val expected = correlation ?: return
        val foundId = head.headers()[expected.header]
        if (foundId == expected.id) return
        val address = "${ctx.channel().remoteAddress()}".removePrefix("/")
        onForeignAnswer(ForeignAnswer(address, head.status().code(), expected.id, foundId, exchanges, sincePrevious))
    }

    private fun receiveContent(
        ctx: ChannelHandlerContext,
        current: HttpClientResponse,
        message: HttpContent,
    ) {
        val cause = message.decoderResult().cause()
        if (cause != null) return fail(ctx, current, "malformed answer: ${cause.message}")
        val bytes = ByteArray(message.content().readableBytes()).also(message.content()::readBytes)
        current.onBody(bytes, message is LastHttpContent)
    }

    private fun fail(
        ctx: ChannelHandlerContext,
        current: HttpClientResponse,
        reason: String,
    ) {
        current.onFailure(reason)
        ctx.close()
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

    private companion object {
        val INFORMATIONAL = 100..199

        /** More than any server sends; without a limit they could come for ever. */
        const val MAX_INFORMATIONAL = 16
    }
}
