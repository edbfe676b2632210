package anvilslip.entry

import anvilslip.kernel.Clock
import anvilslip.kernel.Service
import anvilslip.kernel.SystemClock
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** HTTP/1.1 towards backend servers, with idle connections kept for reuse. */
public class HttpClient(
    private val connectTimeout: Duration = 1.seconds,
    threads: Int = 2,
    /** Longest time that a connection is kept unused. */
    private val maxIdle: Duration = 30.seconds,
    private val clock: Clock = SystemClock,
) : Service {
    /** A connection that waits for its next request. */
    private class Idle(
        val channel: Channel,
        val until: Duration,
    )

    override val name: String = NAME
    private val group = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())
    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<Idle>>()
    private val bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(HttpClientCodec(), ClientConnection())
                    }
                },
            )

    override suspend fun stop() {
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    /**
     * Sends [call] to [address] (`host:port`) and returns once the head of the answer is there.
     *
     * @param silence longest time without a byte of the answer
     * @throws HttpClientError
     */
    public suspend fun open(
        address: String,
        call: HttpClientRequest,
        silence: Duration,
    ): HttpClientResponse {
        val channel = (if (call.freshConnection) null else takeIdle(address)) ?: connect(address)
        val connection = channel.pipeline().get(ClientConnection::class.java)
        lateinit var written: ChannelFuture
        val answer =
            connection.begin(silence) { allowed ->
                if (written.isSuccess) giveBack(address, channel, allowed) else channel.close()
            }
        try {
            written = channel.writeAndFlush(request(address, call))
            written.awaitChannel()
            answer.awaitHead()
        } catch (e: IOException) {
            answer.close()
            throw e as? HttpClientException ?: HttpClientException.IncompleteResponse("sending to $address failed: ${e.message}", false, e)
        } catch (e: kotlinx.coroutines.CancellationException) {
            answer.close()
            throw e
        }
        return answer
    }

    /** Sends [call] and gathers the whole answer, of [maxBytes] at the most. */
    public suspend fun exchange(
        address: String,
        call: HttpClientRequest,
        silence: Duration,
        maxBytes: Int = DEFAULT_MAX_BYTES,
    ): HttpResponse {
        val answer = open(address, call, silence)
        try {
            return HttpResponse(answer.status, answer.readAll(maxBytes), answer.contentType)
        } finally {
            answer.close()
        }
    }

    private suspend fun connect(address: String): Channel {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toIntOrNull() ?: throw HttpClientException.NotSent("'$address' is not host:port")
        return try {
            withTimeoutOrNull(connectTimeout) { bootstrap.connect(host, port).awaitConnected() }
                ?: throw HttpClientException.NotSent("connecting to $address timed out")
        } catch (e: IOException) {
            throw e as? HttpClientException ?: HttpClientException.NotSent("connecting to $address failed: ${e.message}", e)
        }
    }

    private fun takeIdle(address: String): Channel? {
        val channels = idle[address] ?: return null
        while (true) {
            val channel = channels.pollLast() ?: return null
            if (channel.channel.isActive && clock.elapsed() < channel.until) return channel.channel
            channel.channel.close()
        }
    }

    private fun giveBack(
        address: String,
        channel: Channel,
        allowed: Duration?,
    ) {
        val kept = allowed?.let { minOf(maxIdle, it * KEEP_ALIVE_SHARE) } ?: maxIdle
        val channels = idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (channels.size < MAX_IDLE && channel.isActive) channels.addLast(Idle(channel, clock.elapsed() + kept)) else channel.close()
    }

    private fun request(
        address: String,
        call: HttpClientRequest,
    ): DefaultFullHttpRequest {
        val body = Unpooled.wrappedBuffer(call.body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.path, body)
        call.headers.forEach { (name, value) -> request.headers().set(name, value) }
        request.headers().set(HttpHeaderNames.HOST, call.host ?: address)
        if (call.body.isNotEmpty() || call.method !in BODILESS) request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        return request
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "http-client"
        private const val MAX_IDLE = 64

        /** A connection is given up this early, so that the server does not close it as it is used. */
        private const val KEEP_ALIVE_SHARE = 0.6
        private val BODILESS = setOf("GET", "HEAD", "DELETE")
        private const val SHUTDOWN_MILLIS = 500L
        private const val DEFAULT_MAX_BYTES = 16 * 1024 * 1024
    }
}
