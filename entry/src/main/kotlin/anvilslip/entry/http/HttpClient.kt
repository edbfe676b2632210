package anvilslip.entry.http

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.SystemClock
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** HTTP/1.1 client for backend servers with a pool of idle connections per address. */
public class HttpClient(
    private val connectTimeout: Duration = 1.seconds,
    threads: Int = 2,
    /** Time after which an idle connection is closed. */
    private val maxIdle: Duration = 30.seconds,
    private val clock: Clock = SystemClock,
    /** Called on the thread of a connection for each answer that does not name the request that was waiting; must not block. */
    private val onForeignAnswer: (ForeignAnswer) -> Unit = {},
    /** Called after each attempt to connect to an address; tells whether it has succeeded. Must not block. */
    private val onConnect: (address: String, isConnected: Boolean) -> Unit = { _, _ -> },
    /** Name in the service registry, for an instance with several clients. */
    serviceName: String = NAME,
    /** Bounds the memory of all answers; shared by the clients of an instance. */
    private val answers: AnswerBudget = AnswerBudget(),
) : Service {
    override val name: String = serviceName
    private val log = EventLogger(serviceName)
    private val group = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())
    private val idleConnections = ConcurrentHashMap<String, IdleConnections>()
    private val bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())

    override suspend fun stop() {
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    /**
     * Sends [request] to [address] (`host:port`) and returns once the status line and headers of the response have arrived.
     *
     * @param readTimeout longest time without receiving a byte of the response
     * @throws HttpClientException
     */
    public suspend fun open(
        address: String,
        request: HttpClientRequest,
        readTimeout: Duration,
    ): HttpClientResponse {
        val needsNew = needsNewConnection(request)
        val pool = idleConnections.computeIfAbsent(address) { IdleConnections(maxIdle, clock) }
        pool.limit = request.maxIdle
        val pooled = if (needsNew) null else pool.poll()
        if (pooled != null) {
            try {
                return send(pooled, address, request, readTimeout)
            } catch (e: HttpClientException.NotSent) {
                log.debug("connection_replaced", "address" to address, "reason" to e.message)
            }
        }
        val onIdle = { connection: ClientConnection, serverIdleLimit: Duration?, isFirst: Boolean ->
            pool.offer(connection, idleTime(serverIdleLimit), isSurplus = isFirst && needsNew)
        }
        return send(connect(address, onIdle), address, request, readTimeout)
    }

    /** An answer to an earlier exchange could be taken for the answer to a request that its answer does not name. */
    private fun needsNewConnection(request: HttpClientRequest) =
        request.freshConnection || request.correlation == null || HttpMethod.valueOf(request.method) in ClientConnection.UNSHARED

    private suspend fun send(
        connection: ClientConnection,
        address: String,
        request: HttpClientRequest,
        readTimeout: Duration,
    ): HttpClientResponse {
        val response =
            try {
                connection.send(nettyRequest(address, request), request.correlation, readTimeout, request.gate)
            } catch (e: RejectedExecutionException) {
                connection.close()
                throw HttpClientException.NotSent("the client is stopped", e)
            } catch (e: IllegalArgumentException) {
                connection.close()
                throw HttpClientException.NotSent("the request cannot be encoded: ${e.message}", e)
            }
        try {
            response.awaitHead()
        } catch (e: IOException) {
            response.close()
            throw e
        } catch (e: CancellationException) {
            response.close()
            throw e
        }
        return response
    }

    /**
     * Sends [request] and returns the complete response, whose body may have at most [maxBytes] bytes; it counts in the memory of answers
     * until it is returned.
     */
    public suspend fun exchange(
        address: String,
        request: HttpClientRequest,
        readTimeout: Duration,
        maxBytes: Int = DEFAULT_MAX_BYTES,
    ): HttpResponse = exchange(address, request, readTimeout, maxBytes) { it }

    /**
     * Sends [request] and passes the complete response, whose body may have at most [maxBytes] bytes, to [use]; it counts in the memory of
     * answers until that returns.
     */
    public suspend fun <T> exchange(
        address: String,
        request: HttpClientRequest,
        readTimeout: Duration,
        maxBytes: Int,
        use: (HttpResponse) -> T,
    ): T =
        open(address, request, readTimeout).use { response ->
            response.readAll(maxBytes).use { use(HttpResponse(response.status, it.parts, response.contentType)) }
        }

    /** Returns true if a connection to [address] can be established; closes it at once. */
    public suspend fun canConnect(address: String): Boolean =
        try {
            connect(address).close()
            true
        } catch (_: HttpClientException.NotSent) {
            false
        }

    /** Returns true if [address] refuses connections, as it does after the process that listened there has ended. */
    public suspend fun isRefused(address: String): Boolean =
        try {
            connect(address).close()
            false
        } catch (e: HttpClientException.NotSent) {
            e.cause is ConnectException && e.cause !is ConnectTimeoutException
        }

    private suspend fun connect(
        address: String,
        onIdle: IdleListener = { connection, _, _ -> connection.close() },
    ): ClientConnection {
        val connection =
            try {
                establish(address, onIdle)
            } catch (e: HttpClientException.NotSent) {
                onConnect(address, false)
                throw e
            }
        onConnect(address, true)
        return connection
    }

    private suspend fun establish(
        address: String,
        onIdle: IdleListener,
    ): ClientConnection {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toIntOrNull()?.takeIf { it in PORTS }
        if (port == null) throw HttpClientException.NotSent("'$address' is not host:port")
        val probe = WriteProbe()
        var isFirst = true
        val connection =
            ClientConnection(clock, onForeignAnswer, probe, answers) { idle, serverIdleLimit ->
                onIdle(idle, serverIdleLimit, isFirst)
                isFirst = false
            }
        try {
            withTimeoutOrNull(connectTimeout) {
                bootstrap
                    .clone()
                    .handler(initializer(probe, connection))
                    .connect(host, port)
                    .awaitConnected()
            }
                ?: throw HttpClientException.NotSent("connecting to $address timed out")
        } catch (e: IOException) {
            throw e as? HttpClientException ?: HttpClientException.NotSent("connecting to $address failed: ${e.message}", e)
        } catch (e: IllegalStateException) {
            // A stopped event loop accepts no channel.
            if (e is CancellationException) throw e
            throw HttpClientException.NotSent("the client is stopped", e)
        } catch (e: RejectedExecutionException) {
            throw HttpClientException.NotSent("the client is stopped", e)
        }
        return connection
    }

    private fun initializer(
        probe: WriteProbe,
        connection: ClientConnection,
    ) = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(probe, HttpClientCodec(), connection)
        }
    }

    private fun idleTime(serverIdleLimit: Duration?): Duration =
        serverIdleLimit?.let { minOf(maxIdle, it * KEEP_ALIVE_FRACTION) } ?: maxIdle

    private fun nettyRequest(
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
        /** Service name. */
        public const val NAME: String = "http-client"
        private val PORTS = 1..65535

        /** Fraction of the keep-alive timeout of the server after which a connection is dropped, so that it is not closed during reuse. */
        private const val KEEP_ALIVE_FRACTION = 0.6
        private val BODILESS = setOf("GET", "HEAD", "DELETE")
        private const val SHUTDOWN_MILLIS = 500L
        private const val DEFAULT_MAX_BYTES = 16 * 1024 * 1024
    }
}

/** Called when an exchange of a connection has ended; tells how long the server keeps the connection, and whether it was its first. */
private typealias IdleListener = (connection: ClientConnection, serverIdleLimit: Duration?, isFirst: Boolean) -> Unit
