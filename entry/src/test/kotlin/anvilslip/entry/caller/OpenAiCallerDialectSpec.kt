package anvilslip.entry.caller

import anvilslip.entry.SecretKeys
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.HttpServerRequest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class OpenAiCallerDialectSpec :
    DescribeSpec({
        val dialect = OpenAiCallerDialect()
        val key = SecretKeys.generate()

        fun call(
            body: String = """{"model":"a@v1","prompt":"hi"}""",
            path: String = "/v1/completions",
            headers: Map<String, List<String>> = mapOf("authorization" to listOf("Bearer $key")),
            query: Map<String, List<String>> = emptyMap(),
            method: String = "POST",
        ) = HttpServerRequest(method, path, query, headers, body.toByteArray())

        fun code(call: HttpServerRequest) = (dialect.parseHeaders(call).leftOrNull() ?: dialect.parse(call).leftOrNull())?.code

        describe("a completion request") {
            it("is decoded into adapter and version") {
                val request = dialect.parse(call()).getOrNull().shouldBeInstanceOf<CallerRequest.Complete>()
                request.completion.adapter shouldBe "a"
                request.completion.version shouldBe "v1"
            }

            for ((what, body) in listOf(
                "not JSON" to "oops",
                "a list" to "[]",
                "truncated" to """{"model":""",
                "without a model" to """{"prompt":"hi"}""",
                "with a number as prompt" to """{"model":"a","prompt":1}""",
                "with max_tokens of zero" to """{"model":"a","prompt":"x","max_tokens":0}""",
                "with a string as stream" to """{"model":"a","prompt":"x","stream":"yes"}""",
                "nested 1000 levels deep" to "[".repeat(1000) + "]".repeat(1000),
            )) {
                it("is rejected when its body is $what") { code(call(body)) shouldBe ErrorCode.INVALID_BODY }
            }

            it("is rejected with the wrong method") { code(call(method = "GET")) shouldBe ErrorCode.METHOD_NOT_ALLOWED }
        }

        describe("an API key") {
            it("is read from the Authorization header") { dialect.parseHeaders(call()).getOrNull()?.key shouldBe key }

            it("is rejected when sent twice") {
                code(call(headers = mapOf("authorization" to listOf("Bearer $key", "Bearer $key")))) shouldBe ErrorCode.INVALID_HEADER
            }

            it("is rejected in another authentication scheme") {
                code(call(headers = mapOf("authorization" to listOf("Basic abc")))) shouldBe
                    ErrorCode.INVALID_HEADER
            }

            it("is rejected in the query") { code(call(query = mapOf("key" to listOf(key)))) shouldBe ErrorCode.KEY_IN_WRONG_PLACE }

            it("is rejected in the path") { code(call(path = "/bookings/$key")) shouldBe ErrorCode.KEY_IN_WRONG_PLACE }

            it("is rejected in the body, also if it belongs to another workspace") {
                val other = SecretKeys.generate()
                code(call("""{"model":"a","prompt":"$other"}""")) shouldBe ErrorCode.KEY_IN_WRONG_PLACE
            }

            it("is rejected in a header that is forwarded") {
                val headers = mapOf("authorization" to listOf("Bearer $key"), "content-type" to listOf("text/$key"))
                code(call(headers = headers)) shouldBe ErrorCode.KEY_IN_WRONG_PLACE
            }
        }
    })
