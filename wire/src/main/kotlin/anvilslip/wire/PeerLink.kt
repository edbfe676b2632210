package anvilslip.wire

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.SizedQueue
import anvilslip.kernel.isFatal
import arrow.core.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * The outgoing connection to one peer. Connects and reconnects, sends frames in order, and matches answers to calls by call ID.
 * A connection on which frames are sent but nothing is received for [PeerOptions.silenceTimeout] is replaced.
 */
internal class PeerLink(
    private val peer: String,
    private val clock: Clock,
    private val options: PeerOptions,
    private val connect: suspend () -> PeerConnection,
    private val ping: () -> Frame,
    private val onFrame: (Frame) -> Unit,
    private val onSent: (message: PeerMessage, bytes: Int) -> Unit,
    private val onReceived: (bytes: Int) -> Unit,
) {
    private class PendingCall(
        val sentAt: Duration,
        val answer: CompletableDeferred<PeerMessage?>,
    )

    private val log = EventLogger("peer")
    private val outgoing = SizedQueue<Frame>(options.queueLength, options.queueBytes) { it.message.contentBytes }
    private val calls = ConcurrentHashMap<Long, PendingCall>()

    @Volatile
    private var currentConnection: PeerConnection? = null

    @Volatile
    private var lastSentAt = Duration.ZERO

    @Volatile
    private var lastReceivedAt = Duration.ZERO

    val isConnected: Boolean get() = currentConnection != null

    /** [PeerLevel] of the peer's build; the lowest until the peer has sent something on this connection. */
    @Volatile
    var peerLevel = PeerLevel.CLOSES_ON_UNKNOWN
        private set

    /** Queues [frame]. Returns false if the queue is full. */
    fun send(frame: Frame): Boolean = outgoing.trySend(frame)

    /** Sends [frame] and waits for its answer. Returns null if the queue is full or the connection is lost first. */
    suspend fun call(frame: Frame): PeerMessage? {
        val call = PendingCall(clock.elapsed(), CompletableDeferred())
        calls[frame.callId] = call
        try {
            if (!send(frame)) return null
            return call.answer.await()
        } finally {
            calls.remove(frame.callId)
        }
    }

    suspend fun run() {
        while (true) {
            try {
                val connection = connect()
                currentConnection = connection
                lastReceivedAt = clock.elapsed()
                lastSentAt = lastReceivedAt
                log.info("peer_connected", "peer" to peer)
                // The answer states the level of the peer's build.
                send(ping())
                serve(connection)
            } catch (e: Throwable) {
                if (e.isFatal) throw e
                // A connect timeout is thrown as a CancellationException, but this coroutine is not cancelled and must reconnect.
                currentCoroutineContext().ensureActive()
                if (currentConnection != null) log.info("peer_disconnected", "peer" to peer, "error" to e.message)
            } finally {
                currentConnection = null
                peerLevel = PeerLevel.CLOSES_ON_UNKNOWN
                failCalls()
            }
            delay(options.reconnectDelay)
        }
    }

    private suspend fun serve(connection: PeerConnection) =
        try {
            coroutineScope {
                launch { readAll(connection) }
                launch { writeAll(connection) }
            }
        } finally {
            connection.close()
        }

    private suspend fun writeAll(connection: PeerConnection) {
        while (true) {
            var frame: Frame? = outgoing.receive()
            while (frame != null) {
                val next = outgoing.tryReceive()
                val bytes = FrameCodec.encode(frame)
                connection.write(bytes, flush = next == null)
                onSent(frame.message, bytes.size)
                lastSentAt = clock.elapsed()
                frame = next
            }
        }
    }

    private suspend fun CoroutineScope.readAll(connection: PeerConnection) {
        val unknownMessages = UnknownMessageLog(peer)
        while (isActive) {
            val bytes = connection.read()
            onReceived(bytes.size)
            val frame = FrameCodec.decode(bytes).getOrElse { failedAnswer(it, unknownMessages) }
            lastReceivedAt = clock.elapsed()
            peerLevel = frame.level
            onFrame(frame)
            calls[frame.callId]?.answer?.complete(frame.message)
        }
    }

    /** Turns an answer that this build does not know into a failure, which ends its call. */
    private fun failedAnswer(
        error: FrameError,
        log: UnknownMessageLog,
    ): Frame {
        if (error !is FrameError.UnknownMessage) throw IOException(error.reason)
        log.record(error.reason)
        return error.header.run { Frame(callId, reply, stamp, error.toFailure(), level) }
    }

    /**
     * Closes the connection if nothing was received for [PeerOptions.silenceTimeout] although a frame was sent since. Sends a ping after
     * half that time, so that a live connection is not closed only because no answer was due.
     */
    fun checkLiveness() {
        val connection = currentConnection ?: return
        if (lastSentAt <= lastReceivedAt) return
        val silence = clock.elapsed() - lastReceivedAt
        if (silence > options.silenceTimeout) {
            connection.close()
        } else if (silence > options.silenceTimeout / 2) {
            send(ping())
        }
    }

    private fun failCalls() {
        calls.values.forEach { it.answer.complete(null) }
    }
}
