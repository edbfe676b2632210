package anvilslip.entry

/** A request to a backend server. [headers] are all that is sent but for host and length. */
public class HttpClientRequest(
    public val method: String,
    public val path: String,
    public val headers: Map<String, String> = emptyMap(),
    public val body: ByteArray = ByteArray(0),
    /** True to use a fresh connection, so that a failure to connect is told from a failure later. */
    public val freshConnection: Boolean = false,
    /** Value of the Host header; null for the address. */
    public val host: String? = null,
)
