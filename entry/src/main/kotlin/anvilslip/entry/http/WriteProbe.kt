package anvilslip.entry.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelProgressiveFuture
import io.netty.channel.ChannelProgressiveFutureListener
import io.netty.channel.ChannelPromise

/**
 * Observes whether the socket has accepted any byte of the current request. The future of the whole request fails alike before its first
 * byte and after a part of it. Placed before the codec; used on the event loop alone.
 */
internal class WriteProbe : ChannelOutboundHandlerAdapter() {
    /** True once a byte has been accepted since this was set to false. */
    var hasWritten = false

    override fun write(
        ctx: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        val observed = ctx.newProgressivePromise()
        observed.addListener(
            object : ChannelProgressiveFutureListener {
                override fun operationProgressed(
                    future: ChannelProgressiveFuture,
                    progress: Long,
                    total: Long,
                ) {
                    hasWritten = true
                }

                override fun operationComplete(future: ChannelProgressiveFuture) {
                    if (future.isSuccess) hasWritten = true
                    if (future.isSuccess) promise.trySuccess() else promise.tryFailure(future.cause())
                }
            },
        )
        ctx.write(message, observed)
    }
}
