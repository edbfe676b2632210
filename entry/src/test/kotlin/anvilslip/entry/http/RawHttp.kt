package anvilslip.entry.http

import anvilslip.settings.Address
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket

/** Starts a server with [handler] on loopback, passes its port to [action] and stops it. */
internal suspend fun withServer(
    handler: HttpHandler,
    action: suspend (port: Int) -> Unit,
) {
    val port = ServerSocket(0).use { it.localPort }
    val server = HttpServer("test", Address("127.0.0.1", port), handler, HttpServerOptions(maxBodyBytes = MAX_BODY_BYTES))
    server.start()
    try {
        action(port)
    } finally {
        server.stop()
    }
}

/** Sends [request] as one write and returns all that is received until the connection ends. */
internal fun exchangeRaw(
    port: Int,
    request: String,
): String =
    Socket("127.0.0.1", port).use {
        it.soTimeout = READ_TIMEOUT_MILLIS
        it.getOutputStream().write(request.toByteArray())
        val received = ByteArrayOutputStream()
        try {
            it.getInputStream().copyTo(received)
        } catch (_: IOException) {
            // A reset ends the connection as well.
        }
        received.toString(Charsets.UTF_8)
    }

internal const val MAX_BODY_BYTES = 1000
private const val READ_TIMEOUT_MILLIS = 5000
