package anvilslip.entry.completion

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.RepeatingServer
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.BackendKind
import anvilslip.policy.Order
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.Duration.Companion.seconds

/** Guards against a call whose answers bear no ID getting the late second copy of the answer to the call before on a kept connection. */
class UncorrelatedCallSpec :
    DescribeSpec({
        val adapter = AdapterVersion("adapter", "1")
        val timeout = 2.seconds

        fun answer(
            status: Int,
            body: String,
        ) = "HTTP/1.1 $status Any\r\nContent-Length: ${body.length}\r\n\r\n$body"

        fun part(
            offset: Int,
            text: String,
        ) = """{"adapter":"adapter","version":"1","offset":$offset,"text":"$text"}""" + "\n"

        fun stream(
            text: String,
            first: Int = 0,
        ): String {
            val parts = (first until STREAM_PARTS).joinToString("") { part(it, text) }
            return answer(200, parts + """{"adapter":"adapter","version":"1","offset":$STREAM_PARTS,"done":true}""" + "\n")
        }

        fun respond(
            path: String,
            body: String,
        ): String {
            val fields = if (body.isEmpty()) emptyMap() else Json.parseToJsonElement(body).jsonObject
            val requestId = fields["request_id"]?.jsonPrimitive?.content.orEmpty()
            return when (path) {
                "/v1/generate" -> {
                    stream(requestId)
                }

                "/v1/resume" -> {
                    stream(
                        requestId,
                        fields
                            .getValue("offset")
                            .jsonPrimitive.content
                            .toInt(),
                    )
                }

                "/v1/load" -> {
                    if (fields.getValue("version").jsonPrimitive.content == "1") answer(200, "{}") else answer(409, "{}")
                }

                else -> {
                    answer(200, path)
                }
            }
        }

        fun request(id: String) = EngineRequest(id, adapter, "prompt", JsonPrimitive("any"), 1, emptyMap(), 0)

        suspend fun CompletionStream.texts(): List<String> = use { generateSequenceOf { next() }.filterNot { it.done }.map { it.text } }

        fun announcement(address: String) = Announcement("server", "1", BackendKind.MODEL, "model", address, "zone")

        suspend fun withServer(
            pauseMillis: Long?,
            test: suspend (client: HttpClient, server: RepeatingServer) -> Unit,
        ) = RepeatingServer(pauseMillis, ::respond).use { server ->
            val client = HttpClient(threads = 1)
            try {
                test(client, server)
            } finally {
                client.stop()
            }
        }

        for ((how, pauseMillis) in listOf("in one write" to null, "in two parts" to 8L)) {
            describe("a server that sends second copies of its answers late, $how") {
                it("gets no answer of one service call taken for that of another") {
                    withServer(pauseMillis) { client, server ->
                        val paths = (1..CALLS).map { "/service/$it" }
                        paths.map { client.exchange(server.address, HttpClientRequest("GET", it), timeout).text } shouldBe paths
                    }
                }

                it("gets no stream of one completion taken for that of another") {
                    withServer(pauseMillis) { client, server ->
                        val dialect = JsonBackendDialect(client)
                        val ids = (1..CALLS).map { "request-$it" }
                        ids.map { dialect.complete(server.address, request(it), timeout).texts() } shouldBe
                            ids.map { List(STREAM_PARTS) { _ -> it } }
                    }
                }

                it("gets no stream of one completion joined to another that is resumed") {
                    withServer(pauseMillis) { client, server ->
                        val dialect = JsonBackendDialect(client)
                        dialect.resume(server.address, "other", 1, timeout).texts() shouldBe listOf("other", "other")
                        dialect.resume(server.address, "own", 1, timeout).texts() shouldBe listOf("own", "own")
                    }
                }

                it("gets no order taken for accepted that it refused") {
                    withServer(pauseMillis) { client, server ->
                        val dialect = JsonBackendDialect(client)
                        val versions = listOf("1", "2")
                        val accepted =
                            versions.map {
                                val order = Order.Load("server", AdapterVersion("adapter", it), null)
                                dialect.load(announcement(server.address), order, 1)
                            }
                        accepted shouldBe listOf(true, false)
                    }
                }

                it("gets no answer to a cancellation taken for a completion") {
                    withServer(pauseMillis) { client, server ->
                        val dialect = JsonBackendDialect(client)
                        dialect.cancel(server.address, "cancelled")
                        dialect.complete(server.address, request("own"), timeout).texts() shouldBe List(STREAM_PARTS) { "own" }
                    }
                }
            }
        }

        describe("calls without an ID") {
            // The price of the rule: one connection for each call, none kept.
            it("each have a connection of their own") {
                withServer(null) { client, server ->
                    repeat(CALLS) { client.exchange(server.address, HttpClientRequest("GET", "/service/$it"), timeout) }
                    server.connections.size shouldBe CALLS
                }
            }
        }
    })

private const val CALLS = 5
private const val STREAM_PARTS = 3

private suspend fun <T : Any> generateSequenceOf(next: suspend () -> T?): List<T> {
    val items = ArrayList<T>()
    while (true) items += next() ?: return items
}
