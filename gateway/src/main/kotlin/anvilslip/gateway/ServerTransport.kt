package anvilslip.gateway

import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpClientResponse
import kotlin.time.Duration

/** The way of requests to backend servers. */
public fun interface ServerTransport {
    /**
     * Sends [request] to the server at [address] (`host:port`) and returns once the status line and headers of the response have arrived.
     *
     * @param readTimeout longest time without receiving a byte of the response
     * @throws HttpClientException
     */
    public suspend fun open(
        address: String,
        request: HttpClientRequest,
        readTimeout: Duration,
    ): HttpClientResponse
}
