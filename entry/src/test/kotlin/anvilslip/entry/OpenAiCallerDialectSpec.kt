package anvilslip.entry

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

        fun code(call: HttpServerRequest) = (dialect.context(call).leftOrNull() ?: dialect.parse(call).leftOrNull())?.code

        describe("a request") {
            it("names adapter and version") {
                val request = dialect.parse(call()).getOrNull().shouldBeInstanceOf<CallerRequest.Complete>()
                request.completion.adapter shouldBe "a"
                request.completion.version shouldBe "v1"
            }

            for ((what, body) in listOf(
                "not JSON" to "oops",
                "a list" to "[]",
                "cut off" to """{"model":""",
                "without a model" to """{"prompt":"hi"}""",
                "with a number for a prompt" to """{"model":"a","prompt":1}""",
                "with no tokens to generate" to """{"model":"a","prompt":"x","max_tokens":0}""",
                "with a text for stream" to """{"model":"a","prompt":"x","stream":"yes"}""",
                "nested a thousand deep" to "[".repeat(1000) + "]".repeat(1000),
            )) {
                it("is refused when its body is $what") { code(call(body)) shouldBe ErrorCode.INVALID_BODY }
            }

            it("is refused with the wrong method") { code(call(method = "GET")) shouldBe ErrorCode.METHOD_NOT_ALLOWED }
        }

        describe("a key") {
            it("is taken from the Authorization header") { dialect.context(call()).getOrNull()?.key shouldBe key }

            it("is refused twice") {
                code(call(headers = mapOf("authorization" to listOf("Bearer $key", "Bearer $key")))) shouldBe ErrorCode.INVALID_HEADER
            }

            it("is refused in another form") {
                code(call(headers = mapOf("authorization" to listOf("Basic abc")))) shouldBe
                    ErrorCode.INVALID_HEADER
            }

            it("is refused in the query") { code(call(query = mapOf("key" to listOf(key)))) shouldBe ErrorCode.KEY_IN_WRONG_PLACE }

            it("is refused in the path") { code(call(path = "/bookings/$key")) shouldBe ErrorCode.KEY_IN_WRONG_PLACE }

            it("is refused in the body, also another workspace's") {
                val other = SecretKeys.generate()
                code(call("""{"model":"a","prompt":"$other"}""")) shouldBe ErrorCode.KEY_IN_WRONG_PLACE
            }

            it("is refused in a header that is passed on") {
                val headers = mapOf("authorization" to listOf("Bearer $key"), "content-type" to listOf("text/$key"))
                code(call(headers = headers)) shouldBe ErrorCode.KEY_IN_WRONG_PLACE
            }
        }
    })
