package anvilslip.entry.http

/** A complete request as received. Header names are lower case; a repeated header has several values. */
public class HttpServerRequest(
    public val method: String,
    public val path: String,
    public val query: Map<String, List<String>>,
    public val headers: Map<String, List<String>>,
    public val body: ByteArray,
    /** Path and query as received. */
    public val target: String = path,
) {
    /** The first value of a header, or null. */
    public fun header(name: String): String? = headers[name]?.firstOrNull()
}
