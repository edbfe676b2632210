package anvilslip.entry.http

import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.launchSupervised
import anvilslip.settings.Address
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An HTTP/1.1 server that passes complete requests to [handler], one at a time per connection. */
public class HttpServer(
    override val name: String,
    private val address: Address,
    private val handler: HttpHandler,
    private val options: HttpServerOptions = HttpServerOptions(),
    threads: Int = 2,
    /** Options for new connections, read when each connection is accepted. */
    private val currentOptions: () -> HttpServerOptions = { options },
    /** Bounds the bodies of all requests; shared by the servers of an instance. */
    private val bodies: BodyBudget = BodyBudget(),
) : Service {
    private val log = EventLogger("http")
    private val group = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())
    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val acceptScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    @Volatile
    private var isAccepting = true

    /** The listening channel. */
    @Volatile
    internal var channel: Channel? = null
        private set

    /** Port that the server listens on, also if the system has chosen it; null before the server is started. */
    public val boundPort: Int? get() = (channel?.localAddress() as? InetSocketAddress)?.port

    /** Number of requests being handled. */
    public val active: Int get() = job.children.count()

    override suspend fun start() {
        channel = bind()
        acceptScope.launchSupervised("http-accept") { recordProgress -> keepListening(recordProgress) }
    }

    /** Listens again after the listening channel was closed by a failure, which Netty does after some errors. */
    private suspend fun keepListening(recordProgress: () -> Unit) {
        while (true) {
            channel?.closeFuture()?.awaitChannel()
            if (!isAccepting) return
            log.error("listening_lost", "server" to name, "address" to address)
            channel = bind()
            recordProgress()
        }
    }

    private suspend fun bind(): Channel {
        val bootstrap =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = initialize(channel)
                    },
                )
        val channel = bootstrap.bind(address.host, address.port).awaitChannel()
        log.info("listening", "server" to name, "address" to address)
        return channel
    }

    override suspend fun stop() {
        stopAccepting()
        job.cancel()
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS)
    }

    /** Waits up to [timeout] until no request is being handled; returns true if none is left. */
    public suspend fun awaitIdle(timeout: Duration): Boolean =
        withTimeoutOrNull(timeout) {
            while (active > 0) delay(IDLE_CHECK)
        } != null

    /** While true, each response closes its connection (`Connection: close`), so that clients reconnect elsewhere. */
    @Volatile
    public var isDraining: Boolean = false

    /** Stops accepting connections; open connections continue to be served. */
    public suspend fun stopAccepting() {
        isAccepting = false
        acceptScope.coroutineContext[Job]?.cancelAndJoin()
        channel?.close()?.awaitChannel()
    }

    private fun initialize(channel: SocketChannel) {
        val options = currentOptions()
        val config =
            HttpDecoderConfig()
                .setMaxInitialLineLength(options.maxLineBytes)
                .setMaxHeaderSize(options.maxHeaderBytes)
        channel.pipeline().addLast(StrictRequestDecoder(config), HttpResponseEncoder())
        channel.pipeline().addLast(HttpConnection(handler, options, scope, bodies) { isDraining })
    }

    private companion object {
        const val SHUTDOWN_MILLIS = 500L
        val IDLE_CHECK = 20.milliseconds
    }
}

internal val CoroutineScope.job: Job get() = coroutineContext[Job]!!
