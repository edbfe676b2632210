package anvilslip.gateway

import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpClientResponse
import anvilslip.kernel.EventLogger
import kotlin.time.Duration

/**
 * Sends requests to backend servers directly, or through other entry instances while this one cannot reach the servers. The server of a
 * request is the same on both ways, so that limits, retries and versions hold on either.
 */
internal class RelayingTransport(
    private val direct: ServerTransport,
    /** Sends a request to the relay at an address. */
    private val relays: ServerTransport,
    private val reachability: ServerReachability,
    private val relaySelection: RelaySelection,
    private val token: String,
) : ServerTransport {
    private val log = EventLogger("servers")

    override suspend fun open(
        address: String,
        request: HttpClientRequest,
        readTimeout: Duration,
    ): HttpClientResponse {
        if (reachability.isIsolated) return openRelayed(address, request, readTimeout)
        return try {
            openDirect(address, request, readTimeout)
        } catch (e: HttpClientException.NotSent) {
            if (!reachability.isIsolated) throw e
            openRelayed(address, request, readTimeout)
        }
    }

    private suspend fun openDirect(
        address: String,
        request: HttpClientRequest,
        readTimeout: Duration,
    ): HttpClientResponse {
        var isAnswered = false
        reachability.recordSent(request)
        try {
            return direct.open(address, request, readTimeout).also { isAnswered = true }
        } finally {
            reachability.recordEnded(request, isAnswered)
        }
    }

    private suspend fun openRelayed(
        address: String,
        request: HttpClientRequest,
        readTimeout: Duration,
    ): HttpClientResponse {
        var failure = HttpClientException.NotSent("no other instance reaches the server")
        for (relay in relaySelection.candidates()) {
            try {
                val response = relays.open(relay, toRelayRequest(address, request), readTimeout)
                val reason = response.header(RelayProtocol.NOT_SENT) ?: return response
                response.close()
                failure = HttpClientException.NotSent("$relay: $reason")
            } catch (e: HttpClientException.NotSent) {
                failure = e
            }
            relaySelection.recordFailure(relay)
            log.info("relay_failed", "relay" to relay, "server" to address, "reason" to failure.message)
        }
        throw failure
    }

    private fun toRelayRequest(
        address: String,
        request: HttpClientRequest,
    ): HttpClientRequest {
        val headers =
            request.headers + mapOf(RelayProtocol.SERVER to address, RelayProtocol.TOKEN to token) +
                listOfNotNull(
                    request.correlation?.let { RelayProtocol.CORRELATION to it.header },
                    if (request.freshConnection) RelayProtocol.FRESH to "1" else null,
                )
        return HttpClientRequest(
            method = request.method,
            path = request.path,
            headers = headers,
            body = request.body,
            freshConnection = request.freshConnection,
            host = request.host ?: address,
            correlation = request.correlation,
            gate = request.gate,
        )
    }
}
