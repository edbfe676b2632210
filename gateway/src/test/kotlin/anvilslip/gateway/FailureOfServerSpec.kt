package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import kotlin.time.Duration.Companion.seconds

/** Guards against a failure that a server has answered being replaced by one of the system, because the retry did not come about. */
class FailureOfServerSpec :
    DescribeSpec({
        fun failing() = ScriptedServer { _, _ -> "HTTP/1.1 500 Failed\r\nid: 7\r\nContent-Length: 7\r\n\r\nno seat" }

        describe("a failure that a server has answered") {
            it("is passed on if the retry is refused") {
                withForwarder(listOf(failing(), failing()), refusals = 1) { call, _ ->
                    val answer = call("/again/1")
                    answer shouldStartWith "HTTP/1.1 500"
                    answer shouldEndWith "no seat"
                }
            }

            it("is passed on if the connection for the retry breaks") {
                val breaking =
                    ScriptedServer { _, socket ->
                        socket.close()
                        null
                    }
                withForwarder(listOf(failing(), breaking)) { call, _ -> call("/again/1") shouldStartWith "HTTP/1.1 500" }
            }

            it("is passed on if the deadline passes during the retry") {
                val silent = ScriptedServer { _, _ -> null }
                withForwarder(listOf(failing(), silent)) { call, _ -> call("/again/1") shouldStartWith "HTTP/1.1 500" }
                val unreachable = ScriptedServer(acceptsConnections = false) { _, _ -> null }
                withForwarder(listOf(failing(), unreachable), connectTimeout = 5.seconds) { call, _ ->
                    call("/again/1") shouldStartWith "HTTP/1.1 500"
                }
            }
        }
    })
