package anvilslip.entry.completion

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpClientResponse
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Finding
import anvilslip.kernel.Findings
import anvilslip.kernel.Place
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.BackendKind
import anvilslip.policy.Order
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** JSON over HTTP: `/v1/generate`, `/v1/resume`, `/v1/cancel` and `/v1/load`; responses contain one JSON object per line. */
public class JsonBackendDialect(
    private val client: HttpClient,
) : BackendDialect {
    private val log = EventLogger("backend")
    private val json = Json { ignoreUnknownKeys = true }

    @Serializable
    private data class WireAdapter(
        val adapter: String,
        val version: String,
        val running: Int = 0,
    )

    @Serializable
    private data class WireAnnouncement(
        val server: String,
        val incarnation: String,
        val kind: String,
        val serves: String,
        val address: String,
        val zone: String,
        val slots: Int = 0,
        val batch: Int = 1,
        val checksFencing: Boolean = false,
        val adapters: List<WireAdapter> = emptyList(),
        val leaving: Boolean = false,
    )

    @Serializable
    private data class WirePart(
        val adapter: String,
        val version: String,
        val offset: Int,
        val text: String = "",
        val done: Boolean = false,
        val tokens: Int = 0,
    )

    override fun parseAnnouncement(body: ByteArray): Either<List<Finding>, Announcement> {
        val findings = Findings()
        val place = Place("announcement")
        val wire =
            try {
                json.decodeFromString(WireAnnouncement.serializer(), body.decodeToString())
            } catch (e: SerializationException) {
                findings.add(place, e.message?.lineSequence()?.first() ?: "not an announcement")
                return findings.all.left()
            }
        val kind = BackendKind.entries.firstOrNull { it.name.equals(wire.kind, ignoreCase = true) }
        findings.check(kind != null, place.copy(path = "$.kind")) { "must be 'model' or 'application'" }
        validate(wire, findings)
        return if (kind == null || findings.all.isNotEmpty()) findings.all.left() else wire.toAnnouncement(kind).right()
    }

    private fun validate(
        wire: WireAnnouncement,
        findings: Findings,
    ) {
        fun at(path: String) = Place("announcement", path = "$.$path")
        for ((path, name) in listOf(
            "server" to wire.server,
            "incarnation" to wire.incarnation,
            "serves" to wire.serves,
            "zone" to wire.zone,
        )) {
            findings.check(NAME.matches(name), at(path)) { "must match ${NAME.pattern}" }
        }
        findings.check(ADDRESS.matches(wire.address), at("address")) { "must be an IP address and a port" }
        findings.check(wire.slots in 0..MAX_SLOTS, at("slots")) { "must be from 0 to $MAX_SLOTS" }
        findings.check(wire.batch in 1..MAX_BATCH, at("batch")) { "must be from 1 to $MAX_BATCH" }
        findings.check(wire.adapters.size <= wire.slots, at("adapters")) { "holds more adapters than it has slots" }
        findings.check(
            wire.adapters.all { it.running in 0..MAX_BATCH * MAX_BATCH },
            at("adapters"),
        ) { "impossible count of running requests" }
        findings.check(
            wire.adapters.all {
                NAME.matches(it.adapter) && NAME.matches(it.version)
            },
            at("adapters"),
        ) { "names must match ${NAME.pattern}" }
    }

    private fun WireAnnouncement.toAnnouncement(kind: BackendKind) =
        Announcement(
            server = server,
            incarnation = incarnation,
            kind = kind,
            serves = serves,
            address = address,
            zone = zone,
            slots = slots,
            batch = batch,
            checksFencing = checksFencing,
            loaded = adapters.map { AdapterVersion(it.adapter, it.version) },
            running = adapters.filter { it.running > 0 }.associate { AdapterVersion(it.adapter, it.version) to it.running },
            leaving = leaving,
        )

    override suspend fun complete(
        address: String,
        call: EngineRequest,
        readTimeout: Duration,
    ): CompletionStream {
        val body =
            buildJsonObject {
                put("request_id", call.requestId)
                put("adapter", call.adapter.adapter)
                put("version", call.adapter.version)
                put(call.inputName, call.input)
                put("max_tokens", call.maxTokens)
                put("priority", call.priority)
                call.parameters.forEach { (name, value) -> put(name, value) }
            }
        return stream(address, "/v1/generate", body, readTimeout)
    }

    override suspend fun resume(
        address: String,
        requestId: String,
        offset: Int,
        readTimeout: Duration,
    ): CompletionStream {
        val body =
            buildJsonObject {
                put("request_id", requestId)
                put("offset", offset)
            }
        return stream(address, "/v1/resume", body, readTimeout)
    }

    override suspend fun cancel(
        address: String,
        requestId: String,
    ) {
        try {
            client.exchange(address, post("/v1/cancel", buildJsonObject { put("request_id", requestId) }), CANCEL_TIMEOUT)
        } catch (e: IOException) {
            log.debug("cancel_failed", "address" to address, "request_id" to requestId, "error" to e.message)
        }
    }

    override suspend fun load(
        server: Announcement,
        order: Order.Load,
        fencingToken: Long,
    ): Boolean {
        val evict = order.evict
        val body =
            buildJsonObject {
                put("adapter", order.adapter.adapter)
                put("version", order.adapter.version)
                put("fencing", fencingToken)
                if (evict != null) {
                    putJsonObject("evict") {
                        put("adapter", evict.adapter)
                        put("version", evict.version)
                    }
                }
            }
        return try {
            val response = client.exchange(server.address, post("/v1/load", body), LOAD_READ_TIMEOUT)
            if (response.status !=
                OK
            ) {
                log.warn("load_refused", "server" to server.server, "adapter" to order.adapter, "answer" to response.text)
            }
            response.status == OK
        } catch (e: IOException) {
            log.warn("load_failed", "server" to server.server, "adapter" to order.adapter, "error" to e.message)
            false
        }
    }

    private suspend fun stream(
        address: String,
        path: String,
        body: JsonObject,
        readTimeout: Duration,
    ): CompletionStream {
        val response = client.open(address, post(path, body), readTimeout)
        if (response.status == OK) return LineStream(response)
        try {
            throw rejection(response.status, response.readAll(MAX_ERROR_BYTES).use { it.text })
        } finally {
            response.close()
        }
    }

    private fun rejection(
        status: Int,
        body: String,
    ): Exception {
        val code = runCatching { (Json.parseToJsonElement(body).jsonObject["code"] as? JsonPrimitive)?.content }.getOrNull()
        val reason =
            when (code) {
                "not_loaded" -> BackendRejectedException.Reason.NOT_LOADED
                "busy", "leaving" -> BackendRejectedException.Reason.BUSY
                "invalid" -> BackendRejectedException.Reason.INVALID
                "unknown_request" -> BackendRejectedException.Reason.UNKNOWN_REQUEST
                else -> return HttpClientException.IncompleteResponse("the server answered $status", false)
            }
        return BackendRejectedException(reason, "the server answered $status $code")
    }

    private fun post(
        path: String,
        body: JsonObject,
    ) = HttpClientRequest("POST", path, mapOf("Content-Type" to "application/json"), body.toString().toByteArray())

    private inner class LineStream(
        private val response: HttpClientResponse,
    ) : CompletionStream {
        private val lines = ArrayDeque<String>()
        private val partialLine = ByteArrayOutputStream()

        override suspend fun next(): CompletionPart? {
            while (lines.isEmpty()) splitLines(response.read() ?: return null)
            return decodePart(lines.removeFirst())
        }

        /** Splits at line ends before decoding UTF-8, since a character may span two chunks. */
        private fun splitLines(bytes: ByteArray) {
            for (byte in bytes) {
                if (byte == LINE_END) {
                    lines += partialLine.toString(Charsets.UTF_8)
                    partialLine.reset()
                } else {
                    partialLine.write(byte.toInt())
                }
            }
            if (partialLine.size() > MAX_LINE_BYTES) throw HttpClientException.IncompleteResponse("a line of the answer is too long", false)
            response.keep(partialLine.size() + lines.sumOf { it.length + LINE_OVERHEAD_BYTES })
        }

        private fun decodePart(line: String): CompletionPart =
            try {
                val wire = json.decodeFromString(WirePart.serializer(), line)
                CompletionPart(AdapterVersion(wire.adapter, wire.version), wire.offset, wire.text, wire.done, wire.tokens)
            } catch (e: SerializationException) {
                throw HttpClientException.IncompleteResponse("the answer is malformed: ${e.message?.lineSequence()?.first()}", false, e)
            }

        override fun close() = response.close()
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
        val ADDRESS = Regex("""\d{1,3}(\.\d{1,3}){3}:\d{1,5}|\[[0-9a-fA-F:]+]:\d{1,5}""")
        val CANCEL_TIMEOUT = 2.seconds
        val LOAD_READ_TIMEOUT = 10.seconds
        const val OK = 200
        const val MAX_SLOTS = 10_000
        const val MAX_BATCH = 10_000
        const val MAX_ERROR_BYTES = 64 * 1024
        const val MAX_LINE_BYTES = 1024 * 1024

        /** Memory of a string beside its characters. */
        const val LINE_OVERHEAD_BYTES = 64
        const val LINE_END = '\n'.code.toByte()
    }
}
