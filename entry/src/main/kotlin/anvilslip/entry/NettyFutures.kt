package anvilslip.entry

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Waits for the future and returns its channel, or throws its failure. */
internal suspend fun ChannelFuture.awaitChannel(): Channel =
    suspendCancellableCoroutine { continuation ->
        addListener { if (isSuccess) continuation.resume(channel()) else continuation.resumeWithException(cause() ?: CLOSED) }
    }

/** As [awaitChannel] for a connection being made, which is closed when nobody waits for it any more. */
internal suspend fun ChannelFuture.awaitConnected(): Channel =
    try {
        awaitChannel()
    } catch (e: CancellationException) {
        addListener { channel().close() }
        throw e
    }

private val CLOSED = java.io.IOException("closed")
