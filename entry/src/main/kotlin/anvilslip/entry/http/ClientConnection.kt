package anvilslip.entry.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration

/** Client side of one connection; passes received data to the response in progress. */
internal class ClientConnection : ChannelInboundHandlerAdapter() {
    @Volatile
    private var response: HttpClientResponse? = null

    @Volatile
    private var context: ChannelHandlerContext? = null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** True while the end of an informational response is still to come. */
    private var isInformational = false

    /** Starts an exchange; [onReusable] is called when it has ended and the connection can be reused. */
    fun beginExchange(
        readTimeout: Duration,
        onReusable: (serverIdleLimit: Duration?) -> Unit,
    ): HttpClientResponse =
        HttpClientResponse(readTimeout) { reusable, serverIdleLimit ->
            response = null
            if (reusable) onReusable(serverIdleLimit) else context?.close()
        }.also { response = it }

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
            if (isPartOfInformational(message)) return
            if (current.isComplete) return current.onExcessBytes()
            if (message is HttpResponse) current.onHead(message)
            if (message is HttpContent) {
                val cause = message.decoderResult().cause()
                if (cause != null) return current.onFailure("malformed answer: ${cause.message}")
                val bytes = ByteArray(message.content().readableBytes()).also(message.content()::readBytes)
                current.onBody(bytes, message is LastHttpContent)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** True for the head of an informational response, and for the empty content with which the codec ends it. */
    private fun isPartOfInformational(message: Any): Boolean {
        if (message is HttpResponse) isInformational = message.decoderResult().isSuccess && message.status().code() in INFORMATIONAL
        return isInformational
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
    }
}
