package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration

class ReportedLimitsSpec :
    DescribeSpec({
        val server = ServerReport("s", "app", "s:80", "z", ServerPhase.READY, 1)

        class Leader {
            val limits = ReportedLimits(Duration.ZERO, hasPredecessor = false)

            fun report(
                limit: Double?,
                issuedAt: Long = 0,
                startedAtMillis: Long = 1,
            ) = limits.record(LimitStatement("s", startedAtMillis, limit), issuedAt)

            val limit get() = limits.limitOf(server)

            fun grant(): Long = checkNotNull(limits.nextGrant(server))
        }

        describe("reports of different entry instances") {
            it("replace what is known if the request was granted after that had been learnt") {
                val leader = Leader().apply { report(1.0) }
                leader.report(5.0, leader.grant())
                leader.limit shouldBe 5.0
                leader.report(null, leader.grant())
                leader.limit shouldBe null
                leader.limits.nextGrant(server) shouldBe null
            }

            // Guards against the end of an earlier limit that is reported late and lifts the present one.
            it("leave the lowest limit if their order is not known") {
                val leader = Leader().apply { report(3.0) }
                val early = leader.grant()
                leader.report(1.0)
                leader.report(null, early)
                leader.limit shouldBe 1.0
                leader.report(2.0)
                leader.limit shouldBe 1.0
            }

            it("stay within a fixed number of statements") {
                val leader = Leader().apply { report(3.0) }
                repeat(1_000) { leader.report(4.0 + it) }
                leader.limit shouldBe 3.0
                leader.report(8.0, leader.grant())
                leader.limit shouldBe 8.0
            }
        }

        describe("a new process of the server") {
            it("has no limit until it names one") {
                val leader = Leader().apply { report(1.0) }
                leader.limits.limitOf(server.copy(startedAtMillis = 2)) shouldBe null
                leader.limits.retain(listOf(server.copy(startedAtMillis = 2)))
                leader.limit shouldBe null
            }
        }
    })
