package anvilslip.gateway

import anvilslip.kernel.ManualClock
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import anvilslip.policy.ServingConfiguration
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ServerAvailabilitySpec :
    DescribeSpec({
        class Instance {
            val clock = ManualClock(monotonic = 1.minutes)
            val view = ClusterView({ ServingConfiguration(1).right() }, clock, emptySet(), heartbeat = 10.minutes)
            val availability = ServerAvailability(view, clock)

            fun report(
                server: String,
                startedAtMillis: Long = 1,
            ) = view.recordReport(ServerReport(server, "app", "a:$server", "z", ServerPhase.READY, startedAtMillis), direct = true)

            fun record(
                server: String,
                notice: ServerNotice,
            ) = availability.record(availability.incarnationOf(server), notice)
        }

        describe("a server that is leaving") {
            it("is unavailable until it starts anew under the same ID") {
                val instance = Instance().apply { report("s") }
                instance.record("s", ServerNotice(isLeaving = true))
                instance.clock.advance(5.minutes)
                instance.availability.unavailable shouldBe setOf("s")
                instance.report("s", startedAtMillis = 2)
                instance.availability.unavailable shouldBe emptySet()
                instance.availability.isUnavailable("s") shouldBe false
            }

            it("stays unavailable after an answer that asks for a short pause") {
                val instance = Instance().apply { report("s") }
                instance.record("s", ServerNotice(isLeaving = true))
                instance.record("s", ServerNotice(pause = 1.seconds))
                instance.clock.advance(2.seconds)
                instance.availability.isUnavailable("s") shouldBe true
            }
        }

        describe("a server that sent an answer without end") {
            // Guards against a faulty server that gets requests, and each time fills the link of the instance, while others have room.
            it("is avoided for a while") {
                val instance = Instance().apply { listOf("s", "t").forEach { report(it) } }
                instance.availability.recordEndlessAnswer(instance.availability.incarnationOf("s"))
                instance.availability.avoided("app") shouldBe setOf("s")
                instance.availability.avoided("other") shouldBe emptySet()
                instance.availability.isUnavailable("s") shouldBe false
                instance.clock.advance(3.seconds)
                instance.availability.avoided("app") shouldBe emptySet()
            }

            it("is not avoided after it has started anew") {
                val instance = Instance().apply { listOf("s", "t").forEach { report(it) } }
                instance.availability.recordEndlessAnswer(instance.availability.incarnationOf("s"))
                instance.report("s", startedAtMillis = 2)
                instance.availability.avoided("app") shouldBe emptySet()
            }

            it("is not avoided if no other server is ready") {
                val instance = Instance().apply { listOf("s", "t").forEach { report(it) } }
                instance.record("t", ServerNotice(isLeaving = true))
                instance.availability.recordEndlessAnswer(instance.availability.incarnationOf("s"))
                instance.availability.avoided("app") shouldBe emptySet()
            }
        }

        describe("a server that asked for a pause") {
            it("is unavailable until the pause ends") {
                val instance = Instance().apply { report("s") }
                instance.record("s", ServerNotice(pause = 2.seconds))
                instance.clock.advance(1999.milliseconds)
                instance.availability.isUnavailable("s") shouldBe true
                instance.clock.advance(1.milliseconds)
                instance.availability.isUnavailable("s") shouldBe false
            }

            it("is not kept from requests by an answer to an earlier incarnation") {
                val instance = Instance().apply { report("s") }
                val earlier = instance.availability.incarnationOf("s")
                instance.report("s", startedAtMillis = 2)
                instance.availability.record(earlier, ServerNotice(pause = 2.seconds))
                instance.availability.isUnavailable("s") shouldBe false
            }

            it("determines when clients may return if it is the first of all servers of the service to take requests again") {
                val instance = Instance().apply { listOf("s", "t", "u").forEach { report(it) } }
                instance.record("s", ServerNotice(pause = 5.seconds))
                instance.record("t", ServerNotice(pause = 3.seconds))
                instance.availability.timeUntilAvailable("app") shouldBe null
                instance.record("u", ServerNotice(isLeaving = true))
                instance.availability.timeUntilAvailable("app") shouldBe 3.seconds
                instance.availability.timeUntilAvailable("other") shouldBe null
            }
        }
    })
