package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class ServerLimitsSpec :
    DescribeSpec({
        val server = ServerIncarnation("s", 1)

        fun ServerLimits.record(
            limit: Double?,
            sentSecond: Int,
            receivedSecond: Int,
            incarnation: ServerIncarnation = server,
            grant: LimitGrant? = null,
        ) = record(incarnation, limit, grant, sentSecond.seconds, receivedSecond.seconds)

        describe("two answers that name limits") {
            it("leave the later one if its request was sent after the other answer had come") {
                val limits = ServerLimits()
                limits.record(1.0, 1, 2)
                limits.record(5.0, 3, 4)
                limits.limitOf(server) shouldBe 5.0
                limits.record(null, 5, 6)
                limits.limitOf(server) shouldBe null
            }

            // Guards against an answer that was overtaken and lifts the limit that the server has named since.
            it("leave the lower one if their order is not known") {
                val limits = ServerLimits()
                limits.record(1.0, 1, 4)
                limits.record(5.0, 2, 5)
                limits.record(null, 3, 6)
                limits.limitOf(server) shouldBe 1.0
                limits.record(3.0, 5, 7)
                limits.limitOf(server) shouldBe 3.0
            }
        }

        describe("a new process of a server") {
            it("has no limit until it names one, whatever the process before says") {
                val limits = ServerLimits()
                val next = ServerIncarnation("s", 2)
                limits.record(1.0, 1, 2)
                limits.limitOf(next) shouldBe null
                limits.record(2.0, 3, 4, next)
                limits.record(0.5, 1, 5)
                limits.limitOf(next) shouldBe 2.0
                limits.limitOf(server) shouldBe null
            }
        }

        describe("the report to the leader") {
            it("is empty while no server names a limit") {
                val limits = ServerLimits()
                limits.record(null, 1, 2)
                limits.report() shouldBe null
            }

            it("has what the leader of the term has not been told") {
                val limits = ServerLimits()
                limits.record(1.0, 1, 2)
                val first = limits.report().shouldNotBeNull()
                first.term shouldBe null
                first.statements.map { it.limit } shouldBe listOf(1.0)
                limits.acknowledge(first, 7)
                limits.report() shouldBe LimitReport(7, emptyList(), 1)
                limits.record(2.0, 3, 4)
                limits.report()?.statements?.map { it.limit } shouldBe listOf(2.0)
            }

            // Guards against a new leader that decides without the limits that only its predecessor was told.
            it("has all that is known once a leader of another term has answered") {
                val limits = ServerLimits()
                limits.record(1.0, 1, 2)
                limits.acknowledge(limits.report().shouldNotBeNull(), 7)
                limits.acknowledge(limits.report().shouldNotBeNull(), 8)
                val again = limits.report().shouldNotBeNull()
                again.term shouldBe null
                again.statements.size shouldBe 1
                limits.acknowledge(again, 8)
                limits.acknowledge(again, 7)
                limits.report() shouldBe LimitReport(8, emptyList(), 1)
            }

            it("has the end of a limit that the leader knows and this instance does not") {
                val limits = ServerLimits()
                limits.record(null, 1, 2, grant = LimitGrant(7, 3))
                limits.report()?.statements?.single() shouldBe LimitStatement("s", 1, null, LimitGrant(7, 3), 1)
            }
        }
    })
