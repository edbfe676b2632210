package anvilslip.entry.http

import kotlin.time.Duration

/** A complete request as received. Header names are lower case; a repeated header has several values. */
public class HttpServerRequest(
    public val method: String,
    public val path: String,
    public val query: Map<String, List<String>>,
    public val headers: Map<String, List<String>>,
    public val body: ByteArray,
    /** Path and query as received. */
    public val target: String = path,
    /** Time from the arrival of the headers to that of the last byte of the body. */
    public val receiveTime: Duration = Duration.ZERO,
) {
    /** The first value of a header, or null. */
    public fun header(name: String): String? = headers[name]?.firstOrNull()
}
