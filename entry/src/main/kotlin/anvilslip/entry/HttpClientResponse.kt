package anvilslip.entry

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An answer that is being received. Must be closed; closing before its end closes the connection. */
public class HttpClientResponse internal constructor(
    private val silence: Duration,
    private val onClose: (reusable: Boolean, allowedIdle: Duration?) -> Unit,
) : AutoCloseable {
    private class Head(
        val status: Int,
        val contentType: String?,
        val headers: Map<String, String>,
        val keepAlive: Boolean,
    )

    private val head = CompletableDeferred<Head>()
    private val body = Channel<ByteArray>(Channel.UNLIMITED)
    private val closed = AtomicBoolean()

    @Volatile
    private var whole = false

    @Volatile
    private var spoilt = false

    internal val isWhole: Boolean get() = whole

    /** All headers; names are lower case, repeated ones are joined by commas. */
    public val headers: Map<String, String> get() = received.headers

    /** Status code. */
    public val status: Int get() = received.status

    /** Content type, if given. */
    public val contentType: String? get() = received.contentType

    /** The first value of a header; names are lower case. */
    public fun header(name: String): String? = received.headers[name]

    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private val received get() = head.getCompleted()

    /** The next bytes of the body, or null at its proper end. Throws [HttpClientException.IncompleteResponse] when it is cut off or silent. */
    public suspend fun read(): ByteArray? {
        val result = withTimeoutOrNull(silence) { body.receiveCatching() } ?: throw HttpClientException.IncompleteResponse("the server is silent", true)
        result.exceptionOrNull()?.let { throw it }
        return result.getOrNull()
    }

    /** The whole body, of [maxBytes] at the most. */
    public suspend fun readAll(maxBytes: Int): ByteArray {
        val out = ByteArrayOutputStream()
        while (true) {
            val bytes = read() ?: return out.toByteArray()
            if (out.size() + bytes.size > maxBytes) throw HttpClientException.IncompleteResponse("the answer is over $maxBytes bytes", false)
            out.write(bytes)
        }
    }

    override fun close() {
        if (closed.compareAndSet(false, true)) onClose(whole && !spoilt && received.keepAlive, allowedIdle())
    }

    private fun allowedIdle(): Duration? {
        if (!whole) return null
        val timeout = header("keep-alive")?.let { TIMEOUT.find(it) } ?: return null
        return timeout.groupValues[1].toLongOrNull()?.seconds
    }

    /** Something came behind the end of the answer. */
    internal fun spoil() {
        spoilt = true
    }

    internal suspend fun awaitHead() {
        withTimeoutOrNull(silence) { head.await() } ?: throw HttpClientException.IncompleteResponse("the server is silent", true)
    }

    internal fun onHead(response: HttpResponse) {
        if (response.decoderResult().isFailure) return onBroken("malformed answer")
        val headers = response.headers().groupBy({ it.key.lowercase() }, { it.value }).mapValues { it.value.joinToString(", ") }
        val type = response.headers()[HttpHeaderNames.CONTENT_TYPE]
        head.complete(Head(response.status().code(), type, headers, HttpUtil.isKeepAlive(response)))
    }

    internal fun onBody(
        bytes: ByteArray,
        last: Boolean,
    ) {
        if (bytes.isNotEmpty()) body.trySend(bytes)
        if (!last) return
        whole = true
        body.close()
    }

    internal fun onBroken(message: String) {
        val error = HttpClientException.IncompleteResponse(message, false)
        head.completeExceptionally(error)
        if (!whole) body.close(error)
    }

    private companion object {
        val TIMEOUT = Regex("timeout=(\\d+)")
    }
}
