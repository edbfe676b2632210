package anvilslip.gateway

import anvilslip.entry.HttpResponse
import anvilslip.entry.HttpServerRequest
import anvilslip.entry.HttpClientResponse
import kotlin.time.Duration

/** Headers that clients and backend servers set on requests and answers, and the answers that the gateway itself creates. */
public interface RequestDialect {
    /** Decodes the request of a client. */
    public fun decode(call: HttpServerRequest): ClientRequest

    /** Returns the headers with which [request] is forwarded to a backend server, by name. */
    public fun headers(
        request: ClientRequest,
        metadata: ForwardingMetadata,
    ): Map<String, String>

    /** Classifies [answer] to [request] by its status and headers. */
    public fun classify(
        request: ClientRequest,
        answer: HttpClientResponse,
    ): ServerVerdict

    /** Returns the headers of [answer] that are relayed to the client. */
    public fun answerHeaders(answer: HttpClientResponse): Map<String, String>

    /** Creates an error answer of the gateway itself; [retryAfter] is when the client should retry. */
    public fun errorAnswer(
        request: ClientRequest,
        status: Int,
        reason: String,
        retryAfter: Duration? = null,
    ): HttpResponse
}
