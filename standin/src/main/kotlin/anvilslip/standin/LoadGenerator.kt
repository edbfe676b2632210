package anvilslip.standin

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpClientResponse
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Sends requests from concurrent clients and verifies adapter, version, text and completeness of every answer. */
public class LoadGenerator(
    private val options: LoadOptions,
    private val client: HttpClient,
) {
    private val result = LoadResult()
    private val remainingRequests = AtomicInteger(options.requests)
    private val cumulative = cumulativePopularity()

    /** Sends all requests and returns their outcomes. */
    public suspend fun run(): LoadResult {
        coroutineScope {
            repeat(options.concurrency) { number -> launch(Dispatchers.Default) { runClient(number) } }
        }
        return result
    }

    private suspend fun runClient(number: Int) {
        val random = Random(options.seed * CALLERS + number)
        val resolver = CallerResolver(client, options.entries, random, options.resolveEvery)
        while (remainingRequests.getAndDecrement() > 0) {
            sendRequest(random, resolver)
            if (options.pause.isPositive()) delay(options.pause)
        }
    }

    private suspend fun sendRequest(
        random: Random,
        resolver: CallerResolver,
    ) {
        val adapter = "adapter-${sampleAdapter(random)}"
        val prompt = "brief ${random.nextInt(PROMPTS)}"
        val key = options.keys.random(random)
        var retriesLeft = options.retries
        while (true) {
            val retryAfter = attempt(adapter, prompt, key, resolver) ?: return
            if (retriesLeft-- <= 0) return
            delay(retryAfter)
        }
    }

    /** Sends one request; returns the retry delay in milliseconds, or null if it must not be retried. */
    private suspend fun attempt(
        adapter: String,
        prompt: String,
        key: String,
        resolver: CallerResolver,
    ): Long? {
        val address = if (options.direct) options.entries.random() else resolver.address()
        val startedAt = System.nanoTime()
        try {
            val answer = client.open(address, buildRequest(adapter, prompt, key), 30.seconds)
            answer.use {
                if (answer.status != OK) return recordRefusal(answer)
                verifyAnswer(answer, adapter, prompt, startedAt)
            }
        } catch (e: IOException) {
            resolver.invalidate()
            result.count("broken")
        }
        return null
    }

    private fun buildRequest(
        adapter: String,
        prompt: String,
        key: String,
    ): HttpClientRequest {
        val body =
            buildJsonObject {
                put("prompt", prompt)
                put("max_tokens", options.maxTokens)
                if (options.direct) {
                    put("request_id", UUID.randomUUID().toString())
                    put("adapter", adapter)
                    put("version", options.version)
                } else {
                    put("model", "$adapter@${options.version}")
                    put("stream", options.stream)
                }
            }
        val authorization = if (options.direct) emptyMap() else mapOf("Authorization" to "Bearer $key")
        val path = if (options.direct) "/v1/generate" else "/v1/completions"
        return HttpClientRequest("POST", path, authorization + ("Content-Type" to "application/json"), body.toString().toByteArray())
    }

    private suspend fun recordRefusal(answer: HttpClientResponse): Long? {
        val error = Json.parseToJsonElement(answer.readAll(MAX_BYTES).use { it.text }).jsonObject["error"]?.jsonObject
        val code = error?.get("code")?.jsonPrimitive?.content ?: "status_${answer.status}"
        val ran = error?.get("ran")?.jsonPrimitive?.content ?: "unknown"
        result.count("refused:$code:$ran")
        return error?.get("retry_after_ms")?.jsonPrimitive?.long
    }

    private suspend fun verifyAnswer(
        answer: HttpClientResponse,
        adapter: String,
        prompt: String,
        startedAt: Long,
    ) {
        var firstAt = 0L
        val bytes = ByteArrayOutputStream()
        while (true) {
            val part = answer.read() ?: break
            if (firstAt == 0L) firstAt = System.nanoTime()
            bytes.write(part)
        }
        val text = bytes.toString(Charsets.UTF_8)
        val expected = ExpectedAnswer.text(adapter, options.version, prompt, options.maxTokens)
        val received =
            if (options.direct) {
                directText(text)
            } else if (options.stream) {
                streamText(text, adapter)
            } else {
                wholeText(text, adapter)
            }
        when (received) {
            expected -> {
                result.count("whole")
                result.firstPart.recordValue((firstAt - startedAt) / NANOS_PER_MICRO)
                result.total.recordValue((System.nanoTime() - startedAt) / NANOS_PER_MICRO)
            }

            null -> {
                result.count("broken_off")
            }

            else -> {
                result.count("WRONG")
            }
        }
    }

    private fun directText(text: String): String? {
        val lines = text.trim().lines().map { Json.parseToJsonElement(it).jsonObject }
        if (lines.lastOrNull()?.get("done") == null) return null
        return lines.joinToString("") { (it["text"] as? JsonPrimitive)?.content.orEmpty() }
    }

    private fun streamText(
        text: String,
        adapter: String,
    ): String? {
        val events = text.split("\n\n").filter { it.isNotBlank() }
        if (events.lastOrNull() != "data: [DONE]") return null
        return events.dropLast(1).joinToString("") { choiceText(Json.parseToJsonElement(it.removePrefix("data: ")).jsonObject, adapter) }
    }

    private fun wholeText(
        text: String,
        adapter: String,
    ): String = choiceText(Json.parseToJsonElement(text).jsonObject, adapter)

    private fun choiceText(
        answer: JsonObject,
        adapter: String,
    ): String {
        val rightModel = answer["model"]?.jsonPrimitive?.content == "$adapter@${options.version}"
        if (!rightModel) result.count("WRONG_MODEL")
        return answer["choices"]!!
            .jsonArray[0]
            .jsonObject["text"]!!
            .jsonPrimitive.content
    }

    private fun sampleAdapter(random: Random): Int {
        val at = random.nextDouble() * cumulative.last()
        val found = cumulative.binarySearch(at)
        return if (found >= 0) found else -found - 1
    }

    private fun cumulativePopularity(): DoubleArray {
        val weights = DoubleArray(options.adapters) { 1.0 / (it + 1).toDouble().pow(options.skew) }
        for (i in 1 until weights.size) weights[i] += weights[i - 1]
        return weights
    }

    private companion object {
        const val CALLERS = 10_000
        const val PROMPTS = 1_000_000
        const val OK = 200
        const val MAX_BYTES = 1024 * 1024
        const val NANOS_PER_MICRO = 1_000
    }
}
