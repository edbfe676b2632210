package anvilslip.control

import anvilslip.policy.AdapterVersion
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class UseLeaseTableSpec :
    DescribeSpec({
        val adapter = AdapterVersion("a", "v1")
        val leaseTime = 3.seconds
        val load = { _: String, inFlight: Int -> inFlight.toDouble() }

        fun UseLeaseTable.recordPlacement(
            server: String,
            term: Long = 1,
            lease: Long = 1,
            at: Duration = Duration.ZERO,
        ) = recordPlacement(server, adapter, term, lease, decidedAt = at, now = at)

        describe("a placement") {
            it("lets requests start on its server until shortly before the lease expires") {
                val table = UseLeaseTable(leaseTime)
                table.recordPlacement("s")
                table.startRequest(adapter, 2.seconds, load) shouldBe "s"
                table.startRequest(adapter, 2900.milliseconds, load) shouldBe null
            }

            it("is not used for another version of the adapter") {
                val table = UseLeaseTable(leaseTime)
                table.recordPlacement("s")
                table.startRequest(AdapterVersion("a", "v2"), Duration.ZERO, load) shouldBe null
            }

            it("starts a request on the server with the fewest requests in flight") {
                val table = UseLeaseTable(leaseTime)
                table.recordPlacement("s")
                table.recordPlacement("t")
                table.recordPlacement("t")
                table.startRequest(adapter, Duration.ZERO, load) shouldBe "s"
            }
        }

        describe("a lease on an adapter that the server does not hold") {
            it("is not used again until the adapter is placed again") {
                val table = UseLeaseTable(leaseTime)
                table.recordPlacement("s")
                table.invalidate("s", adapter)
                table.startRequest(adapter, Duration.ZERO, load) shouldBe null
                table.recordPlacement("s", at = 1.seconds)
                table.startRequest(adapter, 1.seconds, load) shouldBe "s"
            }
        }

        describe("a report") {
            it("counts the placements under the latest use lease and restarts the count under a new leader") {
                val table = UseLeaseTable(leaseTime)
                repeat(2) { table.recordPlacement("s", lease = 4) }
                table.createReport(Duration.ZERO).single().placements shouldBe 2
                table.recordPlacement("s", term = 2, lease = 1)
                table.createReport(Duration.ZERO).single().placements shouldBe 1
            }

            it("releases an idle lease, which is removed only once the leader has acknowledged the report") {
                val table = UseLeaseTable(leaseTime)
                table.recordPlacement("s")
                table.finishRequest("s", adapter, Duration.ZERO)
                val report = table.createReport(1100.milliseconds)
                report.single().released shouldBe true
                table.startRequest(adapter, 1100.milliseconds, load) shouldBe null
                table.isEmpty shouldBe false
                table.renew(report, leaderTerm = 1, sentAt = 1100.milliseconds)
                table.isEmpty shouldBe true
            }

            it("does not release a lease on which a placement arrives before the report is acknowledged") {
                val table = UseLeaseTable(leaseTime)
                table.recordPlacement("s")
                table.finishRequest("s", adapter, Duration.ZERO)
                val report = table.createReport(1100.milliseconds)
                table.recordPlacement("s", lease = 2, at = 1100.milliseconds)
                table.renew(report, leaderTerm = 1, sentAt = 1100.milliseconds)
                table.startRequest(adapter, 1200.milliseconds, load) shouldBe "s"
            }
        }
    })
