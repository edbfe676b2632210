package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldStartWith

class ForwarderTimeoutSpec :
    DescribeSpec({
        describe("a request that is not answered within the timeout of its route") {
            it("is answered with 504") {
                val silent = ScriptedServer { _, _ -> null }
                withForwarder(listOf(silent)) { call, _ -> call("/once/1") shouldStartWith "HTTP/1.1 504" }
            }
        }
    })
