package anvilslip.entry.caller

import anvilslip.entry.SecretKeys
import anvilslip.entry.completion.CompletionRequest
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import anvilslip.policy.InstanceView
import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.util.UUID
import kotlin.time.Duration

/** OpenAI-compatible API: `/v1/completions` and `/v1/chat/completions` with server-sent events for streaming. */
public class OpenAiCallerDialect(
    private val maxJsonDepth: Int = 32,
    private val defaultMaxTokens: Int = 128,
) : CallerDialect {
    override val streamContentType: String = "text/event-stream"

    override fun parseHeaders(call: HttpServerRequest): Either<ApiError, CallerContext> {
        val misplacedIn = findMisplacedKey(call)
        val authorization = call.headers["authorization"].orEmpty()
        val requestId = call.header("x-request-id") ?: UUID.randomUUID().toString()
        val idempotencyKey = call.headers["idempotency-key"].orEmpty()
        val key = authorization.firstOrNull()?.let(::bearerKey)
        return when {
            misplacedIn != null -> {
                ApiError(
                    ErrorCode.KEY_IN_WRONG_PLACE,
                    "a key belongs in the Authorization header, not in the $misplacedIn",
                ).left()
            }

            authorization.size > 1 -> {
                ApiError(ErrorCode.INVALID_HEADER, "more than one Authorization header").left()
            }

            authorization.isNotEmpty() && key == null -> {
                ApiError(ErrorCode.INVALID_HEADER, "Authorization must be 'Bearer KEY'").left()
            }

            idempotencyKey.size > 1 -> {
                ApiError(ErrorCode.INVALID_HEADER, "more than one Idempotency-Key header").left()
            }

            !ID_FORMAT.matches(requestId) -> {
                ApiError(ErrorCode.INVALID_HEADER, "X-Request-Id must match ${ID_FORMAT.pattern}").left()
            }

            idempotencyKey.any {
                !ID_FORMAT.matches(
                    it,
                )
            } -> {
                ApiError(ErrorCode.INVALID_HEADER, "Idempotency-Key must match ${ID_FORMAT.pattern}").left()
            }

            else -> {
                CallerContext(key, requestId, idempotencyKey.firstOrNull(), call.header("x-request-class")).right()
            }
        }
    }

    override fun parse(call: HttpServerRequest): Either<ApiError, CallerRequest> =
        when (call.path) {
            "/v1/completions" -> post(call) { parseCompletion(call, chat = false) }
            "/v1/chat/completions" -> post(call) { parseCompletion(call, chat = true) }
            "/v1/models" -> get(call) { CallerRequest.ListModels }
            "/v1/resolve" -> get(call) { resolveRequest(call) }
            "/healthz" -> get(call) { CallerRequest.Health }
            else -> serviceRequest(call)
        }

    override fun completionResponse(
        requestId: String,
        request: CompletionRequest,
        chat: Boolean,
        version: String,
        text: String,
        tokens: Int,
    ): HttpResponse {
        val body =
            buildJsonObject {
                put("id", requestId)
                put("object", if (chat) "chat.completion" else "text_completion")
                put("model", "${request.adapter}@$version")
                putJsonArray("choices") {
                    addJsonObject {
                        put("index", 0)
                        if (chat) putJsonObject("message") { put("role", "assistant").also { put("content", text) } } else put("text", text)
                        put("finish_reason", "stop")
                    }
                }
                putJsonObject("usage") {
                    put("prompt_tokens", request.inputTokens)
                    put("completion_tokens", tokens)
                    put("total_tokens", request.inputTokens + tokens)
                }
            }
        return HttpResponse.json(200, body.toString(), mapOf("X-Request-Id" to requestId))
    }

    override fun streamPart(
        requestId: String,
        request: CompletionRequest,
        chat: Boolean,
        version: String,
        text: String,
    ): ByteArray =
        serverSentEvent(
            buildJsonObject {
                put("id", requestId)
                put("object", if (chat) "chat.completion.chunk" else "text_completion")
                put("model", "${request.adapter}@$version")
                putJsonArray("choices") {
                    addJsonObject {
                        put("index", 0)
                        if (chat) putJsonObject("delta") { put("content", text) } else put("text", text)
                    }
                }
            }.toString(),
        )

    override fun streamEnd(
        requestId: String,
        tokens: Int,
    ): ByteArray = serverSentEvent("[DONE]")

    override fun streamError(
        requestId: String,
        error: ApiError,
    ): ByteArray = "event: error\ndata: ${error.toResponse(requestId).text}\n\n".toByteArray()

    override fun modelsResponse(names: List<String>): HttpResponse {
        val body =
            buildJsonObject {
                put("object", "list")
                putJsonArray("data") {
                    for (name in names) {
                        addJsonObject {
                            put("id", name)
                            put("object", "model")
                        }
                    }
                }
            }
        return HttpResponse.json(200, body.toString())
    }

    override fun resolveResponse(
        instances: List<InstanceView>,
        lifetime: Duration,
    ): HttpResponse {
        val body =
            buildJsonObject {
                putJsonArray("instances") {
                    for (instance in instances) {
                        addJsonObject {
                            put("address", instance.address)
                            put("zone", instance.zone)
                        }
                    }
                }
                put("keep_ms", lifetime.inWholeMilliseconds)
            }
        return HttpResponse.json(200, body.toString())
    }

    private fun serverSentEvent(data: String) = "data: $data\n\n".toByteArray()

    private fun bearerKey(header: String): String? = BEARER_FORMAT.matchEntire(header)?.groupValues?.get(1)

    /** Returns the part of the request with an API key that would be forwarded to a backend server, or null. */
    private fun findMisplacedKey(call: HttpServerRequest): String? {
        val presentedKey = call.header("authorization")?.let(::bearerKey)
        val containsKey = { text: String -> KEY_FORMAT.containsMatchIn(text) || (presentedKey != null && presentedKey in text) }
        val forwardedHeaders = listOf("content-type", "x-request-id", "idempotency-key", "x-request-class")
        return when {
            containsKey(call.path) -> "path"
            call.query.any { (name, values) -> containsKey(name) || values.any(containsKey) } -> "query"
            forwardedHeaders.any { name -> call.headers[name].orEmpty().any(containsKey) } -> "headers"
            containsKey(call.body.toString(Charsets.ISO_8859_1)) -> "body"
            else -> null
        }
    }

    private inline fun post(
        call: HttpServerRequest,
        action: () -> Either<ApiError, CallerRequest>,
    ): Either<ApiError, CallerRequest> = if (call.method == "POST") action() else wrongMethod("POST")

    private inline fun get(
        call: HttpServerRequest,
        action: () -> CallerRequest,
    ): Either<ApiError, CallerRequest> = if (call.method == "GET") action().right() else wrongMethod("GET")

    private fun wrongMethod(allowed: String) = ApiError(ErrorCode.METHOD_NOT_ALLOWED, "use $allowed").left()

    private fun resolveRequest(call: HttpServerRequest): CallerRequest.Resolve {
        val affinity = call.query["adapter"]?.firstOrNull() ?: call.query["workspace"]?.firstOrNull()
        return CallerRequest.Resolve(call.query["zone"]?.firstOrNull(), affinity)
    }

    private fun serviceRequest(call: HttpServerRequest): Either<ApiError, CallerRequest> {
        val query = call.query.flatMap { (name, values) -> values.map { "${encode(name)}=${encode(it)}" } }.joinToString("&")
        return CallerRequest.Service(call.method, call.path, query, call.header("content-type"), call.body).right()
    }

    private fun encode(text: String) = java.net.URLEncoder.encode(text, Charsets.UTF_8)

    private fun parseCompletion(
        call: HttpServerRequest,
        chat: Boolean,
    ): Either<ApiError, CallerRequest> = parseBody(call).flatMap { parseCompletion(it, chat) }

    private fun parseBody(call: HttpServerRequest): Either<ApiError, JsonObject> {
        val text = call.body.decodeToString()
        if (nestingDepth(text) > maxJsonDepth) return invalidBody("the body is nested deeper than $maxJsonDepth levels")
        return try {
            (Json.parseToJsonElement(text) as? JsonObject)?.right() ?: invalidBody("the body must be a JSON object")
        } catch (e: SerializationException) {
            invalidBody("the body is not JSON: ${e.message?.lineSequence()?.first()}")
        }
    }

    /** Returns the nesting depth of [text]; checked before parsing, since deeply nested input would overflow the stack of the parser. */
    private fun nestingDepth(text: String): Int {
        var depth = 0
        var deepest = 0
        var quoted = false
        var escaped = false
        for (c in text) {
            when {
                escaped -> escaped = false
                quoted && c == '\\' -> escaped = true
                c == '"' -> quoted = !quoted
                quoted -> Unit
                c == '{' || c == '[' -> deepest = maxOf(deepest, ++depth)
                c == '}' || c == ']' -> depth--
            }
        }
        return deepest
    }

    private fun parseCompletion(
        body: JsonObject,
        chat: Boolean,
    ): Either<ApiError, CallerRequest> {
        val model = (body["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
        val inputName = if (chat) "messages" else "prompt"
        val input = body[inputName]
        val stream =
            body["stream"]?.let { (it as? JsonPrimitive)?.booleanOrNull ?: return invalidBody("'stream' must be true or false") } ?: false
        val maxTokens =
            body["max_tokens"]?.let {
                (it as? JsonPrimitive)?.intOrNull ?: return invalidBody(
                    "'max_tokens' must be a whole number",
                )
            }
        return when {
            model.isNullOrBlank() -> invalidBody("'model' must be a text such as \"adapter\" or \"adapter@version\"")

            input == null ||
                !validInput(
                    input,
                    chat,
                )
            -> invalidBody(if (chat) "'messages' must be a list of objects with 'role' and 'content'" else "'prompt' must be a text")

            maxTokens != null && maxTokens !in 1..MAX_TOKENS -> invalidBody("'max_tokens' must be from 1 to $MAX_TOKENS")

            else -> CallerRequest.Complete(toCompletionRequest(body, model, inputName, input, maxTokens, stream), chat).right()
        }
    }

    private fun toCompletionRequest(
        body: JsonObject,
        model: String,
        inputName: String,
        input: JsonElement,
        maxTokens: Int?,
        stream: Boolean,
    ) = CompletionRequest(
        adapter = model.substringBefore('@'),
        version = model.substringAfter('@', "").ifEmpty { null },
        inputName = inputName,
        input = input,
        inputTokens = tokensIn(input),
        maxTokens = maxTokens ?: defaultMaxTokens,
        stream = stream,
        parameters = body.filterKeys { it in PARAMETERS },
    )

    private fun validInput(
        input: JsonElement,
        chat: Boolean,
    ): Boolean = if (chat) input is JsonArray && input.isNotEmpty() && input.all(::isMessage) else input is JsonPrimitive && input.isString

    private fun isMessage(item: JsonElement): Boolean =
        item is JsonObject && item.keys == MESSAGE_FIELDS && item.values.all { (it as? JsonPrimitive)?.isString == true }

    private fun tokensIn(input: JsonElement): Int =
        when (input) {
            is JsonArray -> input.sumOf { tokensIn((it as JsonObject).getValue("content")) }
            is JsonPrimitive -> input.contentOrNull.orEmpty().length / CHARACTERS_PER_TOKEN + 1
            is JsonObject -> 0
        }

    private fun invalidBody(message: String) = ApiError(ErrorCode.INVALID_BODY, message).left()

    private companion object {
        val ID_FORMAT = Regex("[A-Za-z0-9._:-]{1,128}")
        val BEARER_FORMAT = Regex("Bearer +([A-Za-z0-9._~+/=-]{8,256})", RegexOption.IGNORE_CASE)
        val KEY_FORMAT = Regex("${SecretKeys.PREFIX}[A-Za-z0-9_-]{${SecretKeys.SECRET_CHARACTERS},}")
        val MESSAGE_FIELDS = setOf("role", "content")
        val PARAMETERS = setOf("temperature", "top_p", "stop", "seed", "frequency_penalty", "presence_penalty")
        const val MAX_TOKENS = 1_000_000
        const val CHARACTERS_PER_TOKEN = 4
    }
}
