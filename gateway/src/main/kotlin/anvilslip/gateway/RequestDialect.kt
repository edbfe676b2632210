package anvilslip.gateway

import anvilslip.entry.HttpAnswer
import anvilslip.entry.HttpCall
import anvilslip.entry.HttpClientAnswer
import kotlin.time.Duration

/** How clients and backend servers mark requests and answers. */
public interface RequestDialect {
    /** Decodes [call]. */
    public fun decode(call: HttpCall): ClientRequest

    /** Headers for the backend server, by name. */
    public fun headers(
        request: ClientRequest,
        metadata: ForwardingMetadata,
    ): Map<String, String>

    /** What the head of [answer] to [request] says. */
    public fun classify(
        request: ClientRequest,
        answer: HttpClientAnswer,
    ): ServerVerdict

    /** Headers of [answer] that are passed on to the client. */
    public fun answerHeaders(answer: HttpClientAnswer): Map<String, String>

    /** An answer of this instance, made without a backend server. [retryAfter] tells when to come back. */
    public fun errorAnswer(
        request: ClientRequest,
        status: Int,
        reason: String,
        retryAfter: Duration? = null,
    ): HttpAnswer
}
