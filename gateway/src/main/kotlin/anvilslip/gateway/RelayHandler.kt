package anvilslip.gateway

import anvilslip.entry.http.Correlation
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpClientResponse
import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Passes requests of entry instances that cannot reach the backend servers on to them, and the answers back as they arrive. Decides
 * nothing: server, limits and retries are the matter of the instance that received the request from its client.
 */
internal class RelayHandler(
    private val transport: ServerTransport,
    private val token: String,
    private val reachability: ServerReachability,
    /** True if a backend server is known at the address. */
    private val isServer: (String) -> Boolean,
    /** True once this instance is about to stop. */
    private val isStopping: () -> Boolean = { false },
) : HttpHandler {
    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ) {
        val address = call.header(RelayProtocol.SERVER)
        val isInstance = RelayProtocol.isValid(call.header(RelayProtocol.TOKEN), token)
        when {
            !isInstance -> responder.respond(notSent(call, "the token is wrong", FORBIDDEN))
            address == null || !isServer(address) -> responder.respond(notSent(call, "no server is known at $address"))
            isStopping() -> responder.respond(notSent(call, "this instance is about to stop"))
            reachability.isIsolated -> responder.respond(notSent(call, "no server can be reached from here"))
            else -> relay(address, call, responder)
        }
    }

    private suspend fun relay(
        address: String,
        call: HttpServerRequest,
        responder: HttpResponder,
    ) {
        val response =
            try {
                transport.open(address, toClientRequest(call), READ_TIMEOUT)
            } catch (e: HttpClientException.NotSent) {
                return responder.respond(notSent(call, e.message ?: "not sent"))
            } catch (_: HttpClientException.IncompleteResponse) {
                return responder.abort()
            }
        response.use { relayResponse(it, responder) }
    }

    private suspend fun relayResponse(
        response: HttpClientResponse,
        responder: HttpResponder,
    ) {
        val headers = response.headers.filterKeys { isPassedOn(it) && it != CONTENT_TYPE }
        responder.startStream(response.status, response.contentType ?: UNKNOWN_TYPE, headers)
        try {
            while (true) {
                val bytes = response.read() ?: break
                responder.sendPart(bytes, response.hold(bytes.size))
            }
        } catch (_: HttpClientException) {
            return responder.abort()
        }
        responder.endStream()
    }

    private fun toClientRequest(call: HttpServerRequest): HttpClientRequest {
        val headers = call.headers.filterKeys(::isPassedOn)
        return HttpClientRequest(
            method = call.method,
            path = call.target,
            headers = headers.mapValues { it.value.joinToString(", ") },
            body = call.body,
            freshConnection = call.header(RelayProtocol.FRESH) != null,
            host = call.header("host"),
            correlation = correlationOf(call),
        )
    }

    /** False also for headers of the relay that a server sends, which would be taken for those of this instance. */
    private fun isPassedOn(header: String): Boolean = header !in RelayProtocol.HOP_HEADERS && !header.startsWith(RelayProtocol.PREFIX)

    private fun correlationOf(call: HttpServerRequest): Correlation? {
        val name = call.header(RelayProtocol.CORRELATION) ?: return null
        return call.header(name)?.let { Correlation(name, it) }
    }

    private fun notSent(
        call: HttpServerRequest,
        reason: String,
        status: Int = UNAVAILABLE,
    ): HttpResponse {
        val echo = correlationOf(call)?.let { mapOf(it.header to it.id) }.orEmpty()
        return HttpResponse(status, headers = echo + (RelayProtocol.NOT_SENT to reason.filter { it in PRINTABLE }))
    }

    private companion object {
        const val FORBIDDEN = 403
        const val UNAVAILABLE = 503
        val PRINTABLE = ' '..'~'
        const val CONTENT_TYPE = "content-type"
        const val UNKNOWN_TYPE = "application/octet-stream"

        /** The instance that asked closes its connection at the deadline of the request. */
        val READ_TIMEOUT: Duration = 60.seconds
    }
}
