package anvilslip.entry.http

/** A complete HTTP response. */
public class HttpResponse(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String? = null,
    public val headers: Map<String, String> = emptyMap(),
) {
    /** The body decoded as UTF-8. */
    public val text: String get() = body.decodeToString()

    /** A copy of this response with the X-Request-Id header. */
    public fun withRequestId(requestId: String): HttpResponse =
        HttpResponse(status, body, contentType, headers + ("X-Request-Id" to requestId))

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
