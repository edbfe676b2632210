package anvilslip.entry.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/** A response that is being received. Must be closed; closing it before the end of the body closes the connection. */
public class HttpClientResponse internal constructor(
    private val readTimeout: Duration,
    private val window: ReceiveWindow,
    private val onClose: () -> Unit,
) : AutoCloseable {
    private class Head(
        val status: Int,
        val contentType: String?,
        val headers: Map<String, String>,
    )

    private val head = CompletableDeferred<Head>()
    private val body = Channel<ByteArray>(Channel.UNLIMITED)
    private val closed = AtomicBoolean()

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
     * Returns the next bytes of the body, or null at its end.
     *
     * @throws HttpClientException.IncompleteResponse when the body is truncated or the read times out
     */
    public suspend fun read(): ByteArray? {
        val result =
            withTimeoutOrNull(readTimeout) { body.receiveCatching() }
                ?: throw HttpClientException.IncompleteResponse("the server is silent", true)
        result.exceptionOrNull()?.let { throw it }
        return result.getOrNull()?.also { window.onRead(it.size) }
    }

    /** Reads the complete body, which may have at most [limit] bytes. */
    public suspend fun readAll(limit: Int): ByteArray {
        val out = ByteArrayOutputStream()
        while (true) {
            val bytes = read() ?: return out.toByteArray()
            if (out.size() + bytes.size > limit) throw HttpClientException.IncompleteResponse("the answer is over $limit bytes", false)
            out.write(bytes)
        }
    }

    override fun close() {
        if (closed.compareAndSet(false, true)) onClose()
    }

    internal suspend fun awaitHead() {
        withTimeoutOrNull(readTimeout) { head.await() } ?: throw HttpClientException.IncompleteResponse("the server is silent", true)
    }

    internal fun onHead(response: HttpResponse) {
        val headers = response.headers().groupBy({ it.key.lowercase() }, { it.value }).mapValues { it.value.joinToString(", ") }
        val type = response.headers()[HttpHeaderNames.CONTENT_TYPE]
        head.complete(Head(response.status().code(), type, headers))
    }

    internal fun onBody(
        bytes: ByteArray,
        last: Boolean,
    ) {
        window.onReceived(bytes.size)
        if (bytes.isNotEmpty()) body.trySend(bytes)
        if (last) body.close()
    }

    internal fun onFailure(message: String): Unit = onFailure(HttpClientException.IncompleteResponse(message, false))

    internal fun onFailure(error: HttpClientException) {
        head.completeExceptionally(error)
        body.close(error)
    }
}
