package anvilslip.entry.http

/** A complete HTTP response. */
public class HttpResponse(
    public val status: Int,
    /** The body, in parts. */
    public val parts: List<ByteArray>,
    public val contentType: String? = null,
    public val headers: Map<String, String> = emptyMap(),
    /** Memory that the body takes; whoever sends the response closes it once the body was written. */
    public val memory: HeldMemory? = null,
) {
    public constructor(
        status: Int,
        body: ByteArray = ByteArray(0),
        contentType: String? = null,
        headers: Map<String, String> = emptyMap(),
    ) : this(status, listOf(body), contentType, headers)

    /** Number of bytes of the body. */
    public val size: Int get() = parts.sumOf { it.size }

    /** The body as one array. */
    public val body: ByteArray get() = joinParts(parts)

    /** The body decoded as UTF-8. */
    public val text: String get() = body.decodeToString()

    /** A copy of this response with the X-Request-Id header. */
    public fun withRequestId(requestId: String): HttpResponse =
        HttpResponse(status, parts, contentType, headers + ("X-Request-Id" to requestId), memory)

    public companion object {
        /** Creates a response with a JSON body. */
        public fun json(
            status: Int,
            body: String,
            headers: Map<String, String> = emptyMap(),
        ): HttpResponse = HttpResponse(status, body.toByteArray(), "application/json", headers)

        /** Creates a response with a plain-text body. */
        public fun text(
            status: Int,
            body: String,
        ): HttpResponse = HttpResponse(status, body.toByteArray(), "text/plain; charset=utf-8")
    }
}

/** Joins [parts] to one array, without a copy if there is only one. */
internal fun joinParts(parts: List<ByteArray>): ByteArray {
    parts.singleOrNull()?.let { return it }
    val joined = ByteArray(parts.sumOf { it.size })
    var end = 0
    for (part in parts) {
        part.copyInto(joined, end)
        end += part.size
    }
    return joined
}
