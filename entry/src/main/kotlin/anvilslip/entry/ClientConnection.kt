package anvilslip.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration

/** One connection to a backend server; feeds the answer in progress. */
internal class ClientConnection : ChannelInboundHandlerAdapter() {
    @Volatile
    private var answer: HttpClientResponse? = null

    @Volatile
    private var context: ChannelHandlerContext? = null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Starts an exchange; [onReusable] is called when it is over and the connection may be used again. */
    fun begin(
        silence: Duration,
        onReusable: (allowedIdle: Duration?) -> Unit,
    ): HttpClientResponse =
        HttpClientResponse(silence) { reusable, allowedIdle ->
            answer = null
            if (reusable) onReusable(allowedIdle) else context?.close()
        }.also { answer = it }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            val current = answer
            if (current == null) {
                // Bytes without a request belong to none; whatever follows on this connection cannot be trusted.
                ctx.close()
                return
            }
            if (message is HttpResponse && message.status().code() in INFORMATIONAL) return
            if (current.isWhole) return current.spoil()
            if (message is HttpResponse) current.onHead(message)
            if (message is HttpContent) {
                val cause = message.decoderResult().cause()
                if (cause != null) return current.onBroken("malformed answer: ${cause.message}")
                val bytes = ByteArray(message.content().readableBytes()).also(message.content()::readBytes)
                current.onBody(bytes, message is LastHttpContent)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        answer?.onBroken("the connection was closed")
    }

    @Deprecated("Deprecated in Netty's interface")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        answer?.onBroken(cause.message ?: cause.toString())
        ctx.close()
    }

    private companion object {
        val INFORMATIONAL = 100..199
    }
}
