package anvilslip.entry.http

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Suspends until the future completes and returns its channel, or throws its failure. */
internal suspend fun ChannelFuture.awaitChannel(): Channel =
    suspendCancellableCoroutine { continuation ->
        addListener { if (isSuccess) continuation.resume(channel()) else continuation.resumeWithException(cause() ?: CLOSED) }
    }

/** Like [awaitChannel] for a connect operation; on cancellation the channel is closed once it connects. */
internal suspend fun ChannelFuture.awaitConnected(): Channel =
    try {
        awaitChannel()
    } catch (e: CancellationException) {
        addListener { channel().close() }
        throw e
    }

private val CLOSED = java.io.IOException("closed")
