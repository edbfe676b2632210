package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.string.shouldStartWith

/** Guards against answers of servers whose status is none of HTTP, such as 000, being passed on to clients. */
class InvalidStatusSpec :
    DescribeSpec({
        fun answering(status: String) = ScriptedServer { _, _ -> "HTTP/1.1 $status Odd\r\nid: 7\r\nContent-Length: 4\r\n\r\nseat" }

        for (status in listOf("000", "099", "600", "999")) {
            describe("an answer with the status $status") {
                it("is no answer to a request that may run once only") {
                    val server = answering(status)
                    withForwarder(listOf(server)) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 502" }
                    server.requests shouldHaveSize 1
                }

                it("is no answer to a request that another server can answer") {
                    withForwarder(
                        listOf(answering(status), answering("200")),
                    ) { call, _ -> call("/again/1") shouldStartWith "HTTP/1.1 200" }
                }
            }
        }
    })
