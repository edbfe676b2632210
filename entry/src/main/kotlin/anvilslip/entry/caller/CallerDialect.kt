package anvilslip.entry.caller

import anvilslip.entry.completion.CompletionRequest
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import anvilslip.policy.InstanceView
import arrow.core.Either
import kotlin.time.Duration

/** Decodes requests of callers and encodes the responses; isolates the rest of the module from the wire format. */
public interface CallerDialect {
    /** Decodes and validates the headers of [call]. */
    public fun parseHeaders(call: HttpServerRequest): Either<ApiError, CallerContext>

    /** Decodes the operation that [call] requests. */
    public fun parse(call: HttpServerRequest): Either<ApiError, CallerRequest>

    /** Encodes a complete response of a model engine. */
    public fun completionResponse(
        requestId: String,
        request: CompletionRequest,
        chat: Boolean,
        version: String,
        text: String,
        tokens: Int,
    ): HttpResponse

    /** Content type of streamed responses. */
    public val streamContentType: String

    /** Encodes a part of a streamed response. */
    public fun streamPart(
        requestId: String,
        request: CompletionRequest,
        chat: Boolean,
        version: String,
        text: String,
    ): ByteArray

    /** Encodes the end marker of a complete streamed response. */
    public fun streamEnd(
        requestId: String,
        tokens: Int,
    ): ByteArray

    /** Encodes the error that ends an incomplete streamed response. */
    public fun streamError(
        requestId: String,
        error: ApiError,
    ): ByteArray

    /** Encodes a list of models. */
    public fun modelsResponse(names: List<String>): HttpResponse

    /** Encodes the instances to use, most preferred first; the caller may cache the list for [lifetime]. */
    public fun resolveResponse(
        instances: List<InstanceView>,
        lifetime: Duration,
    ): HttpResponse
}
