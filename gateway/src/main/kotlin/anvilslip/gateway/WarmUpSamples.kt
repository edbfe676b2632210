package anvilslip.gateway

import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpServerRequest

/** Messages of clients and backend servers, for synthetic exchanges before traffic arrives. */
public interface WarmUpSamples {
    /** Answers inventory queries, and accepts orders, as an engine does. */
    public val engine: HttpHandler

    /** Returns the headers of a client's request with the ID [attemptId] and the API key [apiKey]. */
    public fun requestHeaders(
        attemptId: String,
        apiKey: String,
    ): Map<String, String>

    /** Returns the headers of a backend server's answer to [call], except those for its body. */
    public fun responseHeaders(call: HttpServerRequest): Map<String, String>
}
