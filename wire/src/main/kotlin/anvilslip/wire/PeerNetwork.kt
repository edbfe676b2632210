package anvilslip.wire

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.HybridClock
import anvilslip.kernel.Service
import anvilslip.kernel.isFatal
import anvilslip.kernel.launchPeriodically
import anvilslip.kernel.launchSupervised
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.isClosed
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Connections to the other instances. There is one outgoing connection per peer, and answers arrive on the connection on which
 * the call was sent. Both ends prove that they hold the shared secret before any message is read.
 *
 * @param hybridClock stamps outgoing frames and observes the stamps of incoming ones
 * @param acceptsPeer whether the named peer may connect to this instance
 * @param onSent called for each frame that is sent, with its size
 * @param onReceived called with the size of each frame received
 */
public class PeerNetwork(
    private val self: String,
    private val listen: PeerAddress,
    private val peers: Map<String, PeerAddress>,
    secret: ByteArray,
    private val clock: Clock,
    private val hybridClock: HybridClock,
    private val options: PeerOptions = PeerOptions(),
    private val acceptsPeer: (peer: String) -> Boolean = { it in peers },
    private val onSent: (peer: String, message: PeerMessage, bytes: Int) -> Unit = { _, _, _ -> },
    private val onReceived: (bytes: Int) -> Unit = {},
) : Service,
    PeerLinks {
    override val name: String = NAME
    private val log = EventLogger("peer")
    private val handshake = Handshake(secret)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val callIds = AtomicLong()
    private val linkJobs = ConcurrentHashMap<String, Job>()
    private val links = ConcurrentHashMap(peers.mapValues { (peer, address) -> createLink(peer, address) })
    private var server: ServerSocket? = null

    /** Opens the listening socket; replaced by tests that bring about its failures. */
    internal var bind: suspend () -> ServerSocket = { aSocket(selector).tcp().bind(listen.host, listen.port) { reuseAddress = true } }

    /** Replaced by tests, since only later builds add kinds of messages. */
    internal var isUnknownToOldBuilds: (PeerMessage) -> Boolean = { it.isUnknownToOldBuilds }

    /** Handles incoming messages. Must be set before [start]. */
    public var handler: PeerHandler = PeerHandler { _, _ -> PeerMessage.Failed("not ready") }

    /** Decides when the connections of a peer are served. Must be set before [start]. */
    public var admission: PeerAdmission = PeerAdmission {}

    /** Peers to which this instance is currently connected. */
    public val connectedPeers: Set<String> get() = links.filterValues { it.isConnected }.keys

    /** Peers whose link no job connects; always empty. */
    internal val abandonedPeers: Set<String> get() = links.keys.filterTo(mutableSetOf()) { linkJobs[it]?.isActive != true }

    override suspend fun start() {
        server = bind()
        scope.launchSupervised("peer-accept") { acceptConnections(it) }
        for ((peer, link) in links) open(peer, link)
        scope.launchPeriodically("peer-liveness", options.silenceTimeout / LIVENESS_CHECKS_PER_TIMEOUT) { checkConnections() }
    }

    override fun connectTo(
        peer: String,
        address: PeerAddress,
    ) {
        if (peer == self || links.containsKey(peer)) return
        synchronized(linkJobs) {
            if (links.containsKey(peer)) return
            val link = createLink(peer, address)
            links[peer] = link
            open(peer, link)
        }
    }

    override fun disconnect(peer: String): Unit =
        synchronized(linkJobs) {
            links.remove(peer)
            linkJobs.remove(peer)?.cancel()
        }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
        server?.close()
        selector.close()
    }

    /** Queues [message] for [peer] without waiting. It is dropped when the queue is full. A message to this instance is handled locally. */
    override fun send(
        peer: String,
        message: PeerMessage,
    ) {
        if (peer == self) {
            scope.launch { handler.handle(self, message) }
        } else {
            links[peer]?.takeIf { isKnownTo(it.peerLevel, message) }?.send(createFrame(NO_CALL, false, message))
        }
    }

    /** Sends [message] to [peer] and waits up to the default timeout for the answer. */
    public suspend fun call(
        peer: String,
        message: PeerMessage,
    ): Either<PeerError, PeerMessage> = call(peer, message, options.callTimeout)

    /** Sends [message] to [peer] and waits up to [timeout] for the answer. A message to this instance is handled locally. */
    override suspend fun call(
        peer: String,
        message: PeerMessage,
        timeout: Duration,
    ): Either<PeerError, PeerMessage> {
        if (peer == self) return handler.handle(self, message).right()
        val link = links[peer]
        if (link == null || !link.isConnected) return PeerError.Unreachable(peer).left()
        if (!isKnownTo(link.peerLevel, message)) return PeerError.Unsupported(peer).left()
        val frame = createFrame(callIds.incrementAndGet(), false, message)
        val answer = withTimeoutOrNull(timeout) { link.call(frame) }
        return answer?.right() ?: PeerError.NoAnswer(peer).left()
    }

    private fun open(
        peer: String,
        link: PeerLink,
    ) {
        linkJobs[peer] = scope.launchSupervised("peer-link") { link.run() }
    }

    private fun checkConnections() = links.values.forEach { it.checkLiveness() }

    private fun createLink(
        peer: String,
        address: PeerAddress,
    ) = PeerLink(
        peer = peer,
        clock = clock,
        options = options,
        connect = { connect(peer, address) },
        ping = { createFrame(NO_CALL, false, PeerMessage.Ping) },
        onFrame = { hybridClock.observe(it.stamp) },
        onSent = { message, bytes -> onSent(peer, message, bytes) },
        onReceived = onReceived,
    )

    private suspend fun connect(
        peer: String,
        address: PeerAddress,
    ): PeerConnection =
        withTimeout(options.connectTimeout) {
            val socket = aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
            closingOnFailure(socket) { PeerConnection.initiate(socket, self, peer, handshake) }
        }

    /** Accepts connections; listens again if the listening socket was closed by a failure. */
    private suspend fun acceptConnections(recordProgress: () -> Unit) {
        val listening = server?.takeIf { !it.isClosed } ?: bind().also { server = it }
        while (true) {
            val socket = acceptOrNull(listening)
            if (socket == null) delay(ACCEPT_RETRY) else scope.launch { serve(socket) }
            recordProgress()
        }
    }

    /** Accepts a connection; returns null if that fails although [listening] is open, as it does while no file descriptor is left. */
    private suspend fun acceptOrNull(listening: ServerSocket): Socket? =
        try {
            listening.accept()
        } catch (e: IOException) {
            if (listening.isClosed) throw e
            log.warn("accept_failed", "error" to e)
            null
        }

    private suspend fun serve(socket: Socket) {
        try {
            val connection =
                withTimeout(options.connectTimeout) {
                    closingOnFailure(socket) { PeerConnection.accept(socket, self, acceptsPeer, admission, handshake) }
                }
            serve(connection)
        } catch (e: CancellationException) {
            socket.close()
            if (scope.coroutineContext[Job]?.isCancelled == true) throw e
        } catch (e: Throwable) {
            socket.close()
            if (e.isFatal) throw e
            if (e is Error) log.error("peer_failed", "error" to e) else log.debug("peer_refused", "error" to e.message)
        }
    }

    private suspend fun serve(connection: PeerConnection): Unit =
        coroutineScope {
            val answers = Channel<Frame>(options.queueLength)
            val unknownMessages = UnknownMessageLog(connection.peer)
            launch { writeAnswers(connection, answers) }
            while (true) {
                val bytes = connection.read()
                onReceived(bytes.size)
                when (val decoded = FrameCodec.decode(bytes)) {
                    is Either.Right -> serve(connection.peer, decoded.value, answers)
                    is Either.Left -> rejectUnknown(connection.peer, decoded.value, answers, unknownMessages)
                }
            }
        }

    private suspend fun CoroutineScope.serve(
        peer: String,
        frame: Frame,
        answers: Channel<Frame>,
    ) {
        hybridClock.observe(frame.stamp)
        when (frame.message) {
            is PeerMessage.Replica -> handler.handle(peer, frame.message)
            is PeerMessage.Ping -> answers.send(createFrame(frame.callId, true, PeerMessage.Ack))
            else -> launch { handle(peer, frame, answers) }
        }
    }

    /** Answers a message that this build does not know with a failure. The connection stays open, since other messages depend on it. */
    private suspend fun rejectUnknown(
        peer: String,
        error: FrameError,
        answers: Channel<Frame>,
        log: UnknownMessageLog,
    ) {
        if (error !is FrameError.UnknownMessage) throw IOException(error.reason)
        hybridClock.observe(error.header.stamp)
        log.record(error.reason)
        val callId = error.header.callId
        if (callId != NO_CALL) answers.send(createFrame(callId, true, error.toFailure()))
    }

    private suspend fun handle(
        peer: String,
        frame: Frame,
        answers: Channel<Frame>,
    ) {
        val answer = answer(peer, frame)
        if (frame.callId != NO_CALL) answers.send(answer)
    }

    private suspend fun answer(
        peer: String,
        frame: Frame,
    ): Frame {
        val message =
            try {
                handler.handle(peer, frame.message)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Throwable) {
                if (e.isFatal) throw e
                log.warn("peer_message_failed", "peer" to peer, "message" to frame.message::class.simpleName, "error" to e)
                PeerMessage.Failed(e.message ?: "failed")
            }
        val known = message.takeIf { isKnownTo(frame.level, it) } ?: PeerMessage.Failed("the answer is unknown to the build of $peer")
        return createFrame(frame.callId, true, known)
    }

    private fun isKnownTo(
        peerLevel: Int,
        message: PeerMessage,
    ): Boolean = peerLevel >= PeerLevel.ANSWERS_UNKNOWN || !isUnknownToOldBuilds(message)

    private fun createFrame(
        callId: Long,
        isReply: Boolean,
        message: PeerMessage,
    ) = Frame(callId, isReply, hybridClock.next(), message, PeerLevel.CURRENT)

    private suspend fun writeAnswers(
        connection: PeerConnection,
        answers: Channel<Frame>,
    ) {
        for (frame in answers) {
            val bytes = FrameCodec.encode(frame)
            connection.write(bytes, flush = true)
            onSent(connection.peer, frame.message, bytes.size)
        }
    }

    private inline fun <T> closingOnFailure(
        socket: Socket,
        action: () -> T,
    ): T =
        try {
            action()
        } catch (e: Throwable) {
            socket.close()
            throw e
        }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "peers"
        private const val LIVENESS_CHECKS_PER_TIMEOUT = 4

        private val ACCEPT_RETRY = 200.milliseconds

        /** Call ID of a frame that expects no answer. */
        private const val NO_CALL = 0L
    }
}
