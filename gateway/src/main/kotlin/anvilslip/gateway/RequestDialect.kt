package anvilslip.gateway

import anvilslip.entry.http.Correlation
import anvilslip.entry.http.HttpClientResponse
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import kotlin.time.Duration

/** Reads and writes the headers of requests and responses, and creates the responses of the gateway itself. */
public interface RequestDialect {
    /** Decodes the request of a client. */
    public fun decode(call: HttpServerRequest): ClientRequest

    /** Returns the headers with which [request] is forwarded to a backend server, by name. */
    public fun headers(
        request: ClientRequest,
        metadata: ForwardingMetadata,
    ): Map<String, String>

    /** Returns how the answer to [request] is recognised, or null if the request has no ID that servers echo. */
    public fun correlationOf(request: ClientRequest): Correlation?

    /** Classifies [response] by its status and headers. */
    public fun classify(response: HttpClientResponse): ServerVerdict

    /** Decodes what the server that sent [response] says about further requests. */
    public fun noticeOf(response: HttpClientResponse): ServerNotice

    /** Returns the headers of [response] that are relayed to the client. */
    public fun responseHeaders(response: HttpClientResponse): Map<String, String>

    /** Creates an error response of the gateway itself; [retryAfter] is when the client should retry. */
    public fun errorResponse(
        request: ClientRequest,
        status: Int,
        reason: String,
        retryAfter: Duration? = null,
    ): HttpResponse
}
