package anvilslip.cli

import anvilslip.entry.operator.OperatorAccepted
import anvilslip.entry.operator.OperatorChange
import anvilslip.entry.operator.OperatorConfiguration
import anvilslip.entry.operator.OperatorPardon
import anvilslip.entry.operator.OperatorStatus
import anvilslip.entry.operator.OperatorTimeline
import anvilslip.state.Change
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** HTTP client for the operator API of one instance. */
internal class OperatorClient(
    private val operatorAddress: String,
    private val token: String?,
) {
    private val json = Json { ignoreUnknownKeys = true }
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(CONNECT_TIMEOUT_SECONDS)).build()

    fun status(): Either<CommandError, OperatorStatus> = get("/operator/v1/status", OperatorStatus.serializer())

    fun configuration(): Either<CommandError, OperatorConfiguration> = get("/operator/v1/configuration", OperatorConfiguration.serializer())

    fun timeline(
        limit: Int,
        sinceMillis: Long,
        requestId: String?,
    ): Either<CommandError, OperatorTimeline> {
        val requestFilter = requestId?.let { "&request_id=$it" }.orEmpty()
        return get("/operator/v1/timeline?limit=$limit&since_ms=$sinceMillis$requestFilter", OperatorTimeline.serializer())
    }

    /**
     * Submits a change. While the outcome is unknown, resends it with the same [requestId], up to [MAX_ATTEMPTS] times in total. A resend
     * returns the outcome of the first submission.
     */
    fun submitChange(
        requestId: String,
        expectedRevision: Long?,
        change: Change,
    ): Either<CommandError, OperatorAccepted> {
        val body = json.encodeToString(OperatorChange.serializer(), OperatorChange(requestId, expectedRevision, change))
        var result = post("/operator/v1/changes", body, OperatorAccepted.serializer())
        var attempts = 1
        while (result.leftOrNull() is CommandError.Unavailable && attempts++ < MAX_ATTEMPTS) {
            Thread.sleep(RETRY_DELAY_MILLIS)
            result = post("/operator/v1/changes", body, OperatorAccepted.serializer())
        }
        return result
    }

    fun pardon(fingerprint: String): Either<CommandError, OperatorAccepted> {
        val body = json.encodeToString(OperatorPardon.serializer(), OperatorPardon(fingerprint))
        return post("/operator/v1/pardons", body, OperatorAccepted.serializer())
    }

    private fun <T> get(
        path: String,
        serializer: KSerializer<T>,
    ): Either<CommandError, T> = send(newRequest(path).GET().build(), serializer)

    private fun <T> post(
        path: String,
        body: String,
        serializer: KSerializer<T>,
    ): Either<CommandError, T> = send(newRequest(path).POST(HttpRequest.BodyPublishers.ofString(body)).build(), serializer)

    private fun newRequest(path: String): HttpRequest.Builder {
        val builder =
            HttpRequest.newBuilder(URI.create("http://$operatorAddress$path")).timeout(Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS))
        token?.let { builder.header("Authorization", "Bearer $it") }
        return builder
    }

    private fun <T> send(
        request: HttpRequest,
        serializer: KSerializer<T>,
    ): Either<CommandError, T> =
        try {
            val response = http.send(request, HttpResponse.BodyHandlers.ofString())
            if (response.statusCode() == HTTP_OK) json.decodeFromString(serializer, response.body()).right() else errorFrom(response).left()
        } catch (e: IOException) {
            CommandError.Unavailable("cannot reach $operatorAddress: ${e.message ?: e::class.simpleName}").left()
        }

    private fun errorFrom(response: HttpResponse<String>): CommandError {
        val error = runCatching { json.parseToJsonElement(response.body()).jsonObject["error"]?.jsonObject }.getOrNull()
        val code = (error?.get("code") as? JsonPrimitive)?.content ?: "status_${response.statusCode()}"
        val message = (error?.get("message") as? JsonPrimitive)?.content ?: response.body().take(MAX_MESSAGE_CHARACTERS)
        return if (response.statusCode() >=
            HTTP_SERVER_ERROR_MIN
        ) {
            CommandError.Unavailable("$code: $message")
        } else {
            CommandError.Rejected("$code: $message")
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_SECONDS = 3L
        const val REQUEST_TIMEOUT_SECONDS = 15L
        const val MAX_ATTEMPTS = 20
        const val RETRY_DELAY_MILLIS = 250L
        const val HTTP_OK = 200
        const val HTTP_SERVER_ERROR_MIN = 500
        const val MAX_MESSAGE_CHARACTERS = 200
    }
}
