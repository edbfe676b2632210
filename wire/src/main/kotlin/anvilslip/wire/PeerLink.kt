package anvilslip.wire

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
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
 * The outgoing side towards one instance: connects, reconnects, sends frames in order and matches answers to calls.
 * Answers come back on the same connection; a connection that leaves calls unanswered is replaced.
 */
internal class PeerLink(
    private val peer: String,
    private val clock: Clock,
    private val options: PeerOptions,
    private val connect: suspend () -> PeerConnection,
    private val ping: () -> Frame,
    private val onFrame: (Frame) -> Unit,
    private val onBytes: (sent: Int, received: Int) -> Unit,
) {
    private class Call(
        val sentAt: Duration,
        val answer: CompletableDeferred<PeerMessage?>,
    )

    private val log = EventLogger("peer")
    private val outgoing = Channel<Frame>(options.queueLength)
    private val calls = ConcurrentHashMap<Long, Call>()

    @Volatile
    private var current: PeerConnection? = null

    @Volatile
    private var lastSent = Duration.ZERO

    @Volatile
    private var lastReceived = Duration.ZERO

    /** True while there is a connection. */
    val isConnected: Boolean get() = current != null

    /** Queues [frame]; false when too many wait. */
    fun send(frame: Frame): Boolean = outgoing.trySend(frame).isSuccess

    /** Sends [frame] and waits for its answer; null when there is none. */
    suspend fun call(frame: Frame): PeerMessage? {
        val call = Call(clock.elapsed(), CompletableDeferred())
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
                current = connection
                lastReceived = clock.elapsed()
                lastSent = lastReceived
                log.info("peer_connected", "peer" to peer)
                serve(connection)
            } catch (e: Exception) {
                // A timeout is a cancellation too, but not of this link.
                currentCoroutineContext().ensureActive()
                if (current != null) log.info("peer_disconnected", "peer" to peer, "error" to e.message)
            } finally {
                current = null
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
                val next = outgoing.tryReceive().getOrNull()
                val bytes = FrameCodec.encode(frame)
                connection.write(bytes, flush = next == null)
                onBytes(bytes.size, 0)
                lastSent = clock.elapsed()
                frame = next
            }
        }
    }

    private suspend fun CoroutineScope.readAll(connection: PeerConnection) {
        while (isActive) {
            val bytes = connection.read()
            onBytes(0, bytes.size)
            val frame = FrameCodec.decode(bytes).fold({ throw IOException(it) }, { it })
            lastReceived = clock.elapsed()
            onFrame(frame)
            calls[frame.callId]?.answer?.complete(frame.message)
        }
    }

    /** Closes a connection on which something was sent and nothing has come back for too long; pings shortly before that. */
    fun checkSilence() {
        val connection = current ?: return
        if (lastSent <= lastReceived) return
        val silent = clock.elapsed() - lastReceived
        if (silent > options.silenceTimeout) {
            connection.close()
        } else if (silent > options.silenceTimeout / 2) {
            send(ping())
        }
    }

    private fun failCalls() {
        calls.values.forEach { it.answer.complete(null) }
    }
}
