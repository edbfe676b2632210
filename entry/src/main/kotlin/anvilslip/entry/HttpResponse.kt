package anvilslip.entry

/** A whole answer. */
public class HttpResponse(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String? = null,
    public val headers: Map<String, String> = emptyMap(),
) {
    /** Body as text. */
    public val text: String get() = body.decodeToString()

    /** The same answer, naming the request. */
    public fun withRequestId(requestId: String): HttpResponse = HttpResponse(status, body, contentType, headers + ("X-Request-Id" to requestId))

    public companion object {
        /** An answer with a JSON body. */
        public fun json(
            status: Int,
            body: String,
            headers: Map<String, String> = emptyMap(),
        ): HttpResponse = HttpResponse(status, body.toByteArray(), "application/json", headers)

        /** An answer with a text body. */
        public fun text(
            status: Int,
            body: String,
        ): HttpResponse = HttpResponse(status, body.toByteArray(), "text/plain; charset=utf-8")
    }
}
