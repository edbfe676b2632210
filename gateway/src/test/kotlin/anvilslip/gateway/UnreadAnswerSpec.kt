package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientRequest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a pooled connection that stays paused because the answer before was too large to be kept unread. */
class UnreadAnswerSpec :
    DescribeSpec({
        describe("an answer that arrives whole and is closed unread") {
            it("leaves a connection that can be used again") {
                val large = "x".repeat(300_000)
                ScriptedServer { head, _ ->
                    val body = if ("/large" in head) large else "yes"
                    "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"
                }.use { server ->
                    val client = HttpClient(threads = 1)
                    repeat(20) {
                        client.open(server.address, HttpClientRequest("GET", "/large"), 500.milliseconds).use { delay(50) }
                        client.exchange(server.address, HttpClientRequest("GET", "/small"), 500.milliseconds).body.decodeToString() shouldBe
                            "yes"
                    }
                    client.stop()
                }
            }
        }
    })
