package anvilslip.gateway

import anvilslip.entry.http.HttpServerRequest
import anvilslip.policy.ServingWorkspace
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

class RequestFingerprintSpec :
    DescribeSpec({
        val workspace = ServingWorkspace("w", listOf("k"))

        fun request(
            attempt: String,
            target: String = "/a/1",
            body: String = "hi",
        ) = ClientRequest(
            HttpServerRequest("POST", target, emptyMap(), mapOf("id" to listOf(attempt)), body.toByteArray(), target),
            attempt,
            "h",
            "k",
            null,
        )

        describe("a fingerprint") {
            it("is the same for a repeat with another attempt ID") {
                fingerprintOf(request("1"), workspace) shouldBe fingerprintOf(request("2"), workspace)
            }

            it("differs by workspace, target and body") {
                val first = fingerprintOf(request("1"), workspace)
                fingerprintOf(request("1"), null) shouldNotBe first
                fingerprintOf(request("1", target = "/a/2"), workspace) shouldNotBe first
                fingerprintOf(request("1", body = "ho"), workspace) shouldNotBe first
            }
        }
    })
