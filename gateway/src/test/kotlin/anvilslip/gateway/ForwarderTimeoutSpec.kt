package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.SystemClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldStartWith
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class ForwarderTimeoutSpec :
    DescribeSpec({
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
