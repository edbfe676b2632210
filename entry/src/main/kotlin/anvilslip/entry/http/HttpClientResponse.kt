package anvilslip.entry.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/**
 * A response that is being received. Must be closed; closing it before the end of the body closes the connection. What is kept of it counts
 * in [answers]; without room it fails with [HttpClientException.NotKept].
 */
public class HttpClientResponse internal constructor(
    private val readTimeout: Duration,
    private val window: ReceiveWindow,
    answers: AnswerBudget = AnswerBudget(),
    private val onClose: () -> Unit,
) : AutoCloseable {
    private class Head(
        val status: Int,
        val contentType: String?,
        val headers: Map<String, String>,
        val statedLength: Long?,
    )

    private val head = CompletableDeferred<Head>()
    private val body = Channel<ByteArray>(Channel.UNLIMITED)
    private val isAbandoned = AtomicBoolean()
    private val memory = answers.open(::giveUp)
    private val lock = Any()

    /** What [readAll] has read. Guarded by [lock], as are the next three. */
    private val collector = BodyCollector(memory)

    /** Memory of the bytes that [read] has returned last. */
    private var lastReadBytes = 0

    /** Memory of earlier bytes that are in use, set by [keep]. */
    private var keptBytes = 0
    private var notKept: HttpClientException.NotKept? = null

    /** All headers. Names are lower case; values of repeated headers are joined by commas. */
    public val headers: Map<String, String> get() = receivedHead.headers

    /** Status code. */
    public val status: Int get() = receivedHead.status

    /** Value of the Content-Type header, or null. */
    public val contentType: String? get() = receivedHead.contentType

    /** The value of a header, or null. [name] must be lower case. */
    public fun header(name: String): String? = receivedHead.headers[name]

    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private val receivedHead get() = head.getCompleted()

    /**
     * Returns the next bytes of the body, or null at its end. The bytes returned before must not be in use any more, except for those that
     * count by [keep] or [hold].
     *
     * @throws HttpClientException.IncompleteResponse when the body is truncated or the read times out
     */
    public suspend fun read(): ByteArray? {
        synchronized(lock) {
            memory.release(lastReadBytes)
            lastReadBytes = 0
        }
        val result =
            withTimeoutOrNull(readTimeout) { body.receiveCatching() }
                ?: throw HttpClientException.IncompleteResponse("the server is silent", true)
        result.exceptionOrNull()?.let { throw it }
        val bytes = result.getOrNull() ?: return null
        synchronized(lock) {
            notKept?.let { throw it }
            lastReadBytes = memoryOf(bytes.size)
        }
        window.onRead(memoryOf(bytes.size))
        return bytes
    }

    /**
     * Reads the complete body, which may have at most [limit] bytes. The result must be closed.
     *
     * @throws HttpClientException.NotKept if it has more; at its first bytes if the head says so
     */
    public suspend fun readAll(limit: Int): ReceivedBody {
        while (true) {
            val bytes = read() ?: return synchronized(lock) { notKept?.let { throw it } ?: collector.take() }
            collect(bytes, limit)
        }
    }

    private fun collect(
        bytes: ByteArray,
        limit: Int,
    ) {
        val length = receivedHead.statedLength ?: 0
        if (length > limit) throw HttpClientException.NotKept("the answer has $length bytes, over $limit", Reason.TOO_LARGE)
        val size = synchronized(lock) { collector.size }
        if (size + bytes.size > limit) throw HttpClientException.NotKept("the answer is over $limit bytes", Reason.TOO_LONG)
        val needed = synchronized(lock) { collector.memoryToAdd(bytes) }
        // Not under the lock, since other answers may be given up for it.
        if (needed > 0 && !memory.tryReserve(needed)) throw noRoom()
        synchronized(lock) {
            notKept?.let { throw it }
            collector.add(bytes, lastReadBytes)
            lastReadBytes = 0
        }
    }

    /** Reads the rest of the body, which may have at most [limit] bytes, and drops it, so that the connection can be used again. */
    public suspend fun discard(limit: Int) {
        var left = limit
        while (true) {
            left -= (read() ?: return).size
            if (left < 0) throw HttpClientException.NotKept("the answer is over $limit bytes", Reason.TOO_LONG)
        }
    }

    /**
     * Counts [bytes] that were read and are in use beyond the next [read], in place of those counted so before.
     *
     * @throws HttpClientException.NotKept if there is no room for them
     */
    public fun keep(bytes: Int) {
        val more = synchronized(lock) { bytes - keptBytes }
        if (more > 0 && !memory.tryReserve(more)) throw noRoom()
        if (more < 0) memory.release(-more)
        synchronized(lock) { keptBytes = bytes }
    }

    /**
     * Counts [bytes] that were read and are in use until the result is closed.
     *
     * @throws HttpClientException.NotKept if there is no room for them
     */
    public fun hold(bytes: Int): HeldMemory {
        val counted = memoryOf(bytes)
        if (!memory.tryReserve(counted)) throw noRoom()
        return memory.split(counted.toLong())
    }

    override fun close() {
        memory.close()
        abandon()
    }

    private fun abandon() {
        if (isAbandoned.compareAndSet(false, true)) onClose()
    }

    /** Releases all memory that is not in use, and fails. */
    private fun giveUp() {
        val error = noRoom()
        synchronized(lock) {
            notKept = error
            collector.clear()
            do {
                val unread = body.tryReceive()
            } while (unread.isSuccess)
            memory.releaseAllBut(lastReadBytes + keptBytes)
        }
        onFailure(error)
        abandon()
    }

    private fun noRoom(): HttpClientException.NotKept =
        HttpClientException.NotKept(
            "the answers of servers take all memory",
            if (memory.hasStatedLength) Reason.NO_ROOM else Reason.NO_ROOM_NO_LENGTH,
        )

    internal suspend fun awaitHead() {
        withTimeoutOrNull(readTimeout) { head.await() } ?: throw HttpClientException.IncompleteResponse("the server is silent", true)
    }

    internal fun onHead(response: HttpResponse) {
        val size = response.headers().sumOf { it.key.length + it.value.length + HEADER_OVERHEAD_BYTES }
        if (!memory.tryReserve(size)) return
        val headers = response.headers().groupBy({ it.key.lowercase() }, { it.value }).mapValues { it.value.joinToString(", ") }
        val type = response.headers()[HttpHeaderNames.CONTENT_TYPE]
        val length = HttpUtil.getContentLength(response, NO_LENGTH).takeIf { it >= 0 }
        memory.hasStatedLength = length != null
        head.complete(Head(response.status().code(), type, headers, length))
    }

    internal fun onBody(
        bytes: ByteArray,
        last: Boolean,
    ) {
        if (bytes.isNotEmpty()) {
            val size = memoryOf(bytes.size)
            if (!memory.tryReserve(size)) return
            window.onReceived(size)
            body.trySend(bytes)
        }
        if (!last) return
        memory.complete()
        body.close()
    }

    internal fun onFailure(message: String): Unit = onFailure(HttpClientException.IncompleteResponse(message, false))

    internal fun onFailure(error: HttpClientException) {
        head.completeExceptionally(error)
        body.close(error)
    }

    internal companion object {
        private const val NO_LENGTH = -1L

        /** Memory of an array and its place in a list beside its bytes. */
        private const val PART_OVERHEAD_BYTES = 64

        /** Memory of the two strings and the entry of a header beside its characters. */
        private const val HEADER_OVERHEAD_BYTES = 128

        /** Memory that an array of [bytes] takes. */
        fun memoryOf(bytes: Int): Int = bytes + PART_OVERHEAD_BYTES
    }
}

private typealias Reason = HttpClientException.NotKept.Reason
