package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ForwarderTimeoutSpec :
    DescribeSpec({
        describe("a request whose deadline passes before any server can have received it") {
            fun unreachable() = ScriptedServer(acceptsConnections = false) { _, _ -> null }

            // Guards against clients being told that a request may have run that no server has seen, which they must not repeat.
            it("is answered with 503 while a connection is being opened") {
                withForwarder(listOf(unreachable()), connectTimeout = 5.seconds) { call, _ ->
                    call("/once/1") shouldStartWith "HTTP/1.1 503"
                }
            }

            it("is answered with 503 while it waits for admission, and while it is held after that") {
                val unused = ScriptedServer { _, _ -> null }
                withForwarder(listOf(unused), admissionTime = 5.seconds) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 503" }
                withForwarder(listOf(unused), holdMillis = 5_000) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 503" }
                unused.requests.size shouldBe 0
            }

            it("is answered with 503 while it is held after a server turned it away") {
                val full = ScriptedServer { _, _ -> "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n" }
                val unused = ScriptedServer { _, _ -> null }
                withForwarder(listOf(full, unused), holdMillis = 1_200) { call, _ -> call("/again/1") shouldStartWith "HTTP/1.1 503" }
                full.requests.size shouldBe 1
                unused.requests.size shouldBe 0
            }

            it("is answered with 503 while a connection is being opened after a server turned it away") {
                val full = ScriptedServer { _, _ -> "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n" }
                withForwarder(listOf(full, unreachable()), connectTimeout = 5.seconds) { call, _ ->
                    call("/again/1") shouldStartWith "HTTP/1.1 503"
                    full.requests.size shouldBe 1
                }
            }

            it("is answered with 503 if the server turns it away with an answer that does not end") {
                val endless = ScriptedServer { _, _ -> "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 10\r\n\r\n" }
                withForwarder(listOf(endless)) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 503" }
            }
        }

        describe("a request that a server may have run") {
            it("is answered with 504 if the deadline passes while the connection for the next attempt is being opened") {
                val breaking =
                    ScriptedServer { _, socket ->
                        socket.close()
                        null
                    }
                val unreachable = ScriptedServer(acceptsConnections = false) { _, _ -> null }
                withForwarder(listOf(breaking, unreachable), connectTimeout = 5.seconds) { call, _ ->
                    call("/again/1") shouldStartWith "HTTP/1.1 504"
                }
            }
        }

        describe("a request that is not answered within the timeout of its route") {
            it("is answered with 504") {
                val silent = ScriptedServer { _, _ -> null }
                withForwarder(listOf(silent)) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 504" }
            }

            it("is answered with 504 also if the wait for the server is measured to end first, as on a busy processor") {
                val silent = ScriptedServer { _, _ -> null }
                val early =
                    object : Clock by SystemClock {
                        override fun elapsed(): Duration = SystemClock.elapsed() + 50.milliseconds
                    }
                withForwarder(listOf(silent), senderClock = early) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 504" }
            }
        }
    })
