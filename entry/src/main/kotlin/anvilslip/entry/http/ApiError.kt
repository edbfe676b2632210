package anvilslip.entry.http

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** An error returned to a caller. [retryAfter] is the delay after which the caller should retry. */
public data class ApiError(
    val code: ErrorCode,
    val message: String,
    val ran: Ran = Ran.NOT_RUN,
    val retryAfter: Duration? = null,
    val cause: String? = null,
) {
    /** Encodes the error as the response to request [requestId]. */
    public fun toResponse(requestId: String?): HttpResponse {
        val body = buildJsonObject { putJsonObject("error") { fill(requestId) } }
        val headers = LinkedHashMap<String, String>()
        retryAfter?.let { headers["Retry-After"] = wholeSeconds(it).toString() }
        requestId?.let { headers["X-Request-Id"] = it }
        return HttpResponse.json(code.status, body.toString(), headers)
    }

    private fun JsonObjectBuilder.fill(requestId: String?) {
        put("code", code.wireName)
        put("message", message)
        put("ran", ran.wireName)
        cause?.let { put("cause", it) }
        retryAfter?.let { put("retry_after_ms", it.inWholeMilliseconds) }
        requestId?.let { put("request_id", it) }
    }

    private fun wholeSeconds(duration: Duration): Long =
        kotlin.math
            .ceil(duration.toDouble(DurationUnit.SECONDS))
            .toLong()
            .coerceAtLeast(1)
}
