package anvilslip.entry

import anvilslip.policy.InstanceView
import arrow.core.Either
import kotlin.time.Duration

/** How callers speak: everything that depends on the form of their requests and answers. */
public interface CallerDialect {
    /** Reads the headers of [call]. */
    public fun context(call: HttpServerRequest): Either<ApiError, CallerContext>

    /** Reads what [call] asks for. */
    public fun parse(call: HttpServerRequest): Either<ApiError, CallerRequest>

    /** A whole answer of a model engine. */
    public fun completion(
        requestId: String,
        request: CompletionRequest,
        chat: Boolean,
        version: String,
        text: String,
        tokens: Int,
    ): HttpResponse

    /** Content type of streamed answers. */
    public val streamContentType: String

    /** A part of a streamed answer. */
    public fun streamPart(
        requestId: String,
        request: CompletionRequest,
        chat: Boolean,
        version: String,
        text: String,
    ): ByteArray

    /** What marks a streamed answer as whole. */
    public fun streamEnd(
        requestId: String,
        tokens: Int,
    ): ByteArray

    /** What ends a streamed answer that is not whole. */
    public fun streamError(
        requestId: String,
        error: ApiError,
    ): ByteArray

    /** A list of models. */
    public fun models(names: List<String>): HttpResponse

    /** Which instances to use, best first, for [lifetime]. */
    public fun resolved(
        instances: List<InstanceView>,
        lifetime: Duration,
    ): HttpResponse
}
