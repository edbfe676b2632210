package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServerReachabilitySpec :
    DescribeSpec({
        val clock = TestClock(10.seconds)

        fun reachability(servers: Int = 12) = ServerReachability(clock) { servers }

        fun ServerReachability.fail(vararg servers: String) = servers.forEach { recordConnect(it, isConnected = false) }

        describe("an instance") {
            it("is isolated once connections to three servers have failed") {
                val own = reachability()
                own.fail("a", "b")
                own.isIsolated shouldBe false
                own.fail("c")
                own.isIsolated shouldBe true
            }

            it("is not isolated if connections to one server fail again and again") {
                val own = reachability()
                own.fail("a", "a", "a", "a")
                own.isIsolated shouldBe false
            }

            it("is not isolated if a connection was established in between") {
                val own = reachability()
                own.fail("a", "b")
                own.recordConnect("c", isConnected = true)
                own.fail("d")
                own.isIsolated shouldBe false
            }

            it("is not isolated if the failures lie seconds apart") {
                val own = reachability()
                own.fail("a", "b")
                clock.time += 4.seconds
                own.fail("c")
                own.isIsolated shouldBe false
            }

            it("is isolated once all servers have failed if there are fewer than three") {
                val own = reachability(servers = 2)
                own.fail("a", "b")
                own.isIsolated shouldBe true
            }

            it("is no longer isolated once a connection is established") {
                val own = reachability()
                own.fail("a", "b", "c")
                own.recordConnect("b", isConnected = true)
                own.isIsolated shouldBe false
            }
        }

        describe("a check of the servers") {
            it("is due while the instance is isolated, at intervals") {
                val own = reachability()
                own.isCheckDue() shouldBe false
                own.fail("a", "b", "c")
                own.isCheckDue() shouldBe true
                own.isCheckDue() shouldBe false
                clock.time += 500.milliseconds
                own.isCheckDue() shouldBe true
            }

            it("is due if nothing is answered for longer than usual, although connections live on") {
                val own = reachability()
                own.recordSent("request 1")
                clock.time += 1.seconds
                own.isCheckDue() shouldBe false
                clock.time += 1.seconds
                own.isCheckDue() shouldBe true
            }

            it("is not due while others are answered") {
                val own = reachability()
                own.recordSent("request 1")
                own.recordSent("request 2")
                clock.time += 1.seconds
                own.recordEnded("request 2", isAnswered = true)
                clock.time += 1.seconds
                own.isCheckDue() shouldBe false
            }
        }
    })
