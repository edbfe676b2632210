package anvilslip.gateway

import anvilslip.entry.HttpResponse
import anvilslip.entry.HttpServerRequest
import anvilslip.entry.HttpClientResponse
import kotlin.time.Duration

/** How clients and backend servers mark requests and answers. */
public interface RequestDialect {
    /** Decodes [call]. */
    public fun decode(call: HttpServerRequest): ClientRequest

    /** Headers for the backend server, by name. */
    public fun headers(
        request: ClientRequest,
        metadata: ForwardingMetadata,
    ): Map<String, String>

    /** What the head of [answer] to [request] says. */
    public fun classify(
        request: ClientRequest,
        answer: HttpClientResponse,
    ): ServerVerdict

    /** Headers of [answer] that are passed on to the client. */
    public fun answerHeaders(answer: HttpClientResponse): Map<String, String>

    /** An answer of this instance, made without a backend server. [retryAfter] tells when to come back. */
    public fun errorAnswer(
        request: ClientRequest,
        status: Int,
        reason: String,
        retryAfter: Duration? = null,
    ): HttpResponse
}
