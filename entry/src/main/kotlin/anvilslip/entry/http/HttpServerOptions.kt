package anvilslip.entry.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Size limits and timeouts of an HTTP server. */
public data class HttpServerOptions(
    val maxBodyBytes: Int = 1024 * 1024,
    val maxHeaderBytes: Int = 16 * 1024,
    val maxLineBytes: Int = 8 * 1024,
    /** Time for a complete request to arrive, from its first byte. */
    val receiveTimeout: Duration = 10.seconds,
    /** Time after which a connection without a request is closed. */
    val idleTimeout: Duration = 120.seconds,
    /** Time after which the connection of a client that does not read its response is closed. */
    val writeTimeout: Duration = 30.seconds,
)
