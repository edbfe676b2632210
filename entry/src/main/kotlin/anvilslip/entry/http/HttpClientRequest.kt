package anvilslip.entry.http

/** A request to a backend server. Only Host and Content-Length are sent in addition to [headers]. */
public class HttpClientRequest(
    public val method: String,
    public val path: String,
    public val headers: Map<String, String> = emptyMap(),
    public val body: ByteArray = ByteArray(0),
    /** True to open a new connection, so that a failure to connect can be distinguished from a later failure. */
    public val freshConnection: Boolean = false,
    /** Value of the Host header; null to use the address. */
    public val host: String? = null,
    /**
     * How the answer is recognised; null if servers do not name requests of this kind in their answers. Such a request shares its
     * connection with no other.
     */
    public val correlation: Correlation? = null,
    /** Tells whether a byte of the request may have been written; null if its sender does not need to know. */
    public val gate: SendGate? = null,
    /** Idle connections to the address that are kept at most. */
    public val maxIdle: Int = DEFAULT_MAX_IDLE,
) {
    public companion object {
        /** Idle connections to one address that are kept if the request does not limit them. */
        public const val DEFAULT_MAX_IDLE: Int = 16
    }
}
