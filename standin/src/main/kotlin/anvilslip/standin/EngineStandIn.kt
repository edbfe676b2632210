package anvilslip.standin

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import anvilslip.policy.AdapterVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.io.IOException
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Stand-in for a model engine with adapter slots, batching, streaming and resuming, which records protocol violations. */
public class EngineStandIn(
    private val options: EngineOptions,
    private val client: HttpClient,
    private val onCrash: () -> Unit,
) : HttpHandler {
    private class Generation(
        val adapter: AdapterVersion,
        val input: String,
        val words: Int,
    ) {
        val produced = AtomicInteger()
        val progress = Channel<Unit>(Channel.CONFLATED)
        var job: Job? = null
    }

    private val incarnation = UUID.randomUUID().toString().take(INCARNATION_CHARACTERS)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val batch = BatchSlots(options.batch)
    private val loading = Mutex()
    private val loaded = LinkedHashSet<AdapterVersion>()
    private val running = HashMap<AdapterVersion, Int>()
    private val generations = ConcurrentHashMap<String, Generation>()
    private val violations = CopyOnWriteArrayList<String>()
    private val loads = AtomicInteger()
    private var highestFencingNumber = 0L
    private val startedAt = System.nanoTime()

    @Volatile
    private var leaving = false

    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ) {
        checkForApiKeys(call)
        when (call.path) {
            "/v1/generate" -> generate(json(call), responder)
            "/v1/resume" -> resume(json(call), responder)
            "/v1/cancel" -> responder.respond(cancel(json(call)))
            "/v1/load" -> responder.respond(load(json(call)))
            "/standin/v1/violations" -> responder.respond(violations())
            "/standin/v1/leave" -> responder.respond(HttpResponse.json(200, "{}").also { leaving = true })
            else -> responder.respond(HttpResponse.json(404, """{"code":"unknown"}"""))
        }
    }

    /** The announcement of this engine as JSON. */
    public fun announcement(): String =
        buildJsonObject {
            put("server", options.server)
            put("incarnation", incarnation)
            put("kind", "model")
            put("serves", options.model)
            put("address", options.address.toString())
            put("zone", options.zone)
            put("slots", options.slots)
            put("batch", options.batch)
            put("checksFencing", options.checksFencing)
            put("leaving", leaving)
            putJsonArray("adapters") {
                synchronized(loaded) {
                    for (adapter in loaded) {
                        addJsonObject {
                            put("adapter", adapter.adapter)
                            put("version", adapter.version)
                            put("running", running[adapter] ?: 0)
                        }
                    }
                }
            }
        }.toString()

    private fun json(call: HttpServerRequest): JsonObject = Json.parseToJsonElement(call.body.decodeToString()).jsonObject

    private fun checkForApiKeys(call: HttpServerRequest) {
        val seen = call.headers.values.flatten() + call.body.decodeToString() + call.path
        if (seen.any { "ask_" in it } || "authorization" in call.headers) violations += "a key reached ${options.server}"
    }

    private fun violations(): HttpResponse =
        HttpResponse.json(
            200,
            buildJsonObject {
                putJsonArray("violations") { violations.forEach { add(it) } }
            }.toString(),
        )

    private fun adapterOf(body: JsonObject) =
        AdapterVersion(body.getValue("adapter").jsonPrimitive.content, body.getValue("version").jsonPrimitive.content)

    private suspend fun generate(
        body: JsonObject,
        responder: HttpResponder,
    ) {
        val adapter = adapterOf(body)
        val input = inputText(body["prompt"] ?: body.getValue("messages"))
        if (CRASH_WORD in input) onCrash()
        val generation = Generation(adapter, input, body.getValue("max_tokens").jsonPrimitive.int)
        val started =
            synchronized(loaded) {
                (adapter in loaded).also { if (it) running.merge(adapter, 1, Int::plus) }
            }
        if (!started) return responder.respond(HttpResponse.json(409, """{"code":"not_loaded"}"""))
        val id = body.getValue("request_id").jsonPrimitive.content
        if (generations.putIfAbsent(id, generation) != null) violations += "request $id was sent twice"
        generation.job = scope.launch { produce(id, generation, body["priority"]?.jsonPrimitive?.long ?: 0) }
        stream(generation, 0, responder)
    }

    private suspend fun produce(
        id: String,
        generation: Generation,
        priority: Long,
    ) {
        try {
            batch.use(priority) {
                repeat(generation.words) {
                    delay(options.tokenTime)
                    generation.produced.incrementAndGet()
                    generation.progress.trySend(Unit)
                }
            }
        } finally {
            synchronized(loaded) { running.merge(generation.adapter, -1, Int::plus) }
            scope.launch {
                delay(RETENTION_AFTER_END)
                generations.remove(id)
            }
        }
    }

    private suspend fun resume(
        body: JsonObject,
        responder: HttpResponder,
    ) {
        val generation = generations[body.getValue("request_id").jsonPrimitive.content]
        if (generation == null) return responder.respond(HttpResponse.json(404, """{"code":"unknown_request"}"""))
        stream(generation, body.getValue("offset").jsonPrimitive.int, responder)
    }

    private suspend fun stream(
        generation: Generation,
        offset: Int,
        responder: HttpResponder,
    ) {
        responder.startStream(200, "application/x-ndjson")
        var sent = offset
        while (sent < generation.words) {
            while (sent < generation.produced.get()) responder.sendPart(encodePart(generation, sent++))
            if (sent < generation.words) generation.progress.receive()
        }
        responder.sendPart(encodeEnd(generation))
        responder.endStream()
    }

    private fun encodePart(
        generation: Generation,
        index: Int,
    ): ByteArray {
        val adapter = generation.adapter
        val line =
            buildJsonObject {
                put("adapter", adapter.adapter)
                put("version", adapter.version)
                put("offset", index)
                put("text", ExpectedAnswer.word(adapter.adapter, adapter.version, generation.input, index))
            }
        return "$line\n".toByteArray()
    }

    private fun encodeEnd(generation: Generation): ByteArray {
        val line =
            buildJsonObject {
                put("adapter", generation.adapter.adapter)
                put("version", generation.adapter.version)
                put("offset", generation.words)
                put("done", true)
                put("tokens", generation.words)
            }
        return "$line\n".toByteArray()
    }

    private fun cancel(body: JsonObject): HttpResponse {
        generations[body.getValue("request_id").jsonPrimitive.content]?.job?.cancel()
        return HttpResponse.json(200, "{}")
    }

    private suspend fun load(body: JsonObject): HttpResponse =
        loading.withLock {
            val number = body.getValue("fencing").jsonPrimitive.long
            if (options.checksFencing && number < highestFencingNumber) return HttpResponse.json(409, """{"code":"fenced"}""")
            highestFencingNumber = maxOf(highestFencingNumber, number)
            val evicted = body["evict"]?.jsonObject?.let(::adapterOf)
            if (evicted != null && !evict(evicted)) return HttpResponse.json(409, """{"code":"in_use"}""")
            val adapter = adapterOf(body)
            val full = synchronized(loaded) { loaded.size >= options.slots && adapter !in loaded }
            if (full) return HttpResponse.json(409, """{"code":"no_slot"}""")
            val fails = options.failEveryLoad > 0 && loads.incrementAndGet() % options.failEveryLoad == 0
            if (!fetchWeights(adapter) || fails) return HttpResponse.json(503, """{"code":"load_failed"}""")
            synchronized(loaded) { loaded += adapter }
            HttpResponse.json(200, "{}")
        }

    private fun evict(adapter: AdapterVersion): Boolean =
        synchronized(loaded) {
            val used = (running[adapter] ?: 0) > 0
            if (used) violations += "$adapter was to be evicted from ${options.server} while in use"
            if (!used) loaded -= adapter
            !used
        }

    private suspend fun fetchWeights(adapter: AdapterVersion): Boolean {
        val store = options.weightStore
        if (store == null) {
            delay(options.loadTime)
            return true
        }
        return try {
            client.exchange(store, HttpClientRequest("GET", "/weights/${adapter.adapter}/${adapter.version}"), 30.seconds).status == 200
        } catch (_: IOException) {
            false
        }
    }

    private fun inputText(input: JsonElement): String =
        when (input) {
            is JsonPrimitive -> {
                input.content
            }

            is JsonArray -> {
                input.joinToString("\n") {
                    it.jsonObject
                        .getValue("content")
                        .jsonPrimitive.content
                }
            }

            is JsonObject -> {
                input.toString()
            }
        }

    /** Whether the cold start time has passed. */
    public val isWarm: Boolean get() = System.nanoTime() - startedAt >= options.coldStart.inWholeNanoseconds

    public companion object {
        /** An input that contains this word crashes the engine. */
        public const val CRASH_WORD: String = "CRASH-THE-ENGINE"
        private const val INCARNATION_CHARACTERS = 8
        private val RETENTION_AFTER_END = 1.minutes
    }
}
