package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FleetTableSpec :
    DescribeSpec({
        fun report(
            id: String = "s1",
            sequence: Long = 1,
            startedAt: Long = 1,
            phase: ServerPhase = ServerPhase.READY,
            address: String = "10.0.0.1:80",
        ) = ServerReport(id, "service", address, "z", phase, startedAt, sequence)

        fun FleetTable.applyDirect(report: ServerReport) = applyReport(report, direct = true, now = Duration.ZERO)

        fun FleetTable.ids() = aliveServers(Duration.ZERO, 5.seconds).map { it.id }

        describe("a report") {
            it("changes the table if the server is new and refreshes it if the state is the same") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 1)) shouldBe FleetTable.Change.CHANGED
                table.applyDirect(report(sequence = 2)) shouldBe FleetTable.Change.REFRESHED
            }

            it("is ignored if a newer one was applied before") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 5, phase = ServerPhase.DRAINING))
                table.applyDirect(report(sequence = 4)) shouldBe FleetTable.Change.NONE
                table["s1"]?.phase shouldBe ServerPhase.DRAINING
            }

            it("cannot make a draining server ready again") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 5, phase = ServerPhase.DRAINING))
                table.applyDirect(report(sequence = 6)) shouldBe FleetTable.Change.NONE
            }

            it("is applied regardless of its sequence number if the server restarted with the same ID") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 50, phase = ServerPhase.DRAINING))
                table.applyDirect(report(sequence = 1, startedAt = 2)) shouldBe FleetTable.Change.CHANGED
                table["s1"]?.phase shouldBe ServerPhase.READY
            }
        }

        describe("the check for changes since a revision") {
            it("ignores reports without a change") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 1))
                val known = table.revision
                table.applyDirect(report(sequence = 2))
                table.hasChangedSince(known, directOnly = false) shouldBe false
                table.applyDirect(report(sequence = 3, phase = ServerPhase.DRAINING))
                table.hasChangedSince(known, directOnly = false) shouldBe true
            }

            it("still finds a change after later reports without one") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 1))
                val known = table.revision
                table.applyDirect(report(sequence = 2, phase = ServerPhase.DRAINING))
                table.applyDirect(report(sequence = 3, phase = ServerPhase.DRAINING))
                table.hasChangedSince(known, directOnly = false) shouldBe true
            }

            it("ignores relayed reports if only direct ones are requested") {
                val table = FleetTable()
                table.applyReport(report(sequence = 1), direct = false, now = Duration.ZERO)
                table.hasChangedSince(0, directOnly = true) shouldBe false
                table.hasChangedSince(0, directOnly = false) shouldBe true
            }
        }

        describe("an address that is reused") {
            it("belongs to the server that started last") {
                val table = FleetTable()
                table.applyDirect(report(id = "old", startedAt = 1))
                table.applyDirect(report(id = "new", startedAt = 2))
                table.ids() shouldBe listOf("new")
            }

            it("is not reclaimed by a late report of the previous server") {
                val table = FleetTable()
                table.applyDirect(report(id = "new", startedAt = 2))
                table.applyDirect(report(id = "old", startedAt = 1, sequence = 9)) shouldBe FleetTable.Change.NONE
                table.ids() shouldBe listOf("new")
            }
        }

        describe("a server that has signed off") {
            it("is not restored by a late report") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 5))
                table.deregister("s1", startedAtMillis = 9, now = Duration.ZERO) shouldBe FleetTable.Change.CHANGED
                table.applyDirect(report(sequence = 6)) shouldBe FleetTable.Change.NONE
                table.ids() shouldBe emptyList()
            }

            it("is not restored by a late report if it was not known before") {
                val table = FleetTable()
                table.deregister("s1", startedAtMillis = 9, now = Duration.ZERO)
                table.applyDirect(report(sequence = 6, startedAt = 8)) shouldBe FleetTable.Change.NONE
            }
        }

        describe("a server that has started anew under its ID") {
            // Guards against a server that reports and is acknowledged, but gets no requests until it starts once more.
            it("is not deregistered by a late call of its earlier process") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 50, startedAt = 1))
                table.applyDirect(report(sequence = 1, startedAt = 2))
                table.deregister("s1", startedAtMillis = 1, now = Duration.ZERO) shouldBe FleetTable.Change.NONE
                table.applyDirect(report(sequence = 2, startedAt = 2)) shouldBe FleetTable.Change.REFRESHED
                table.ids() shouldBe listOf("s1")
            }

            it("is added although its earlier process signed off") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 50, startedAt = 1))
                table.deregister("s1", startedAtMillis = 1, now = Duration.ZERO) shouldBe FleetTable.Change.CHANGED
                table.applyDirect(report(sequence = 1, startedAt = 2)) shouldBe FleetTable.Change.CHANGED
                table.ids() shouldBe listOf("s1")
            }

            // Guards against reports that are taken for older ones, since an instance relayed the sequence number of the earlier process.
            it("is not refreshed by a relayed report of its earlier process") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 1, startedAt = 2))
                table.refresh("s1", ReportVersion(1, 50), Duration.ZERO)
                table.applyDirect(report(sequence = 2, startedAt = 2)) shouldBe FleetTable.Change.REFRESHED
            }
        }

        describe("the changes since a revision") {
            it("exclude relayed reports if only direct ones are requested") {
                val table = FleetTable()
                table.applyReport(report(id = "far", address = "10.0.0.2:80"), direct = false, now = Duration.ZERO)
                table.applyDirect(report(id = "near"))
                table.changesSince(0, directOnly = true).map { it.id } shouldBe listOf("near")
                table.changesSince(0, directOnly = false).map { it.id } shouldBe listOf("far", "near")
                table.changesSince(table.revision, directOnly = false) shouldBe emptyList()
            }

            it("contain only sequence numbers for direct reports without a change") {
                val table = FleetTable()
                table.applyDirect(report(id = "near", sequence = 1))
                val known = table.revision
                table.applyDirect(report(id = "near", sequence = 2))
                table.changesSince(known, directOnly = false) shouldBe emptyList()
                table.refreshedSince(known) shouldBe mapOf("near" to ReportVersion(1, 2))
                table.refreshedSince(0) shouldBe emptyMap()
            }

            it("include changed adapters of a server periodically, not with each report") {
                fun holding(
                    sequence: Long,
                    adapter: String,
                ) = report(sequence = sequence).copy(models = listOf(LoadedModel("m", mapOf(adapter to 1L))))
                val table = FleetTable()
                table.applyReport(holding(1, "a"), direct = true, now = Duration.ZERO)
                val known = table.revision
                table.applyReport(holding(2, "b"), direct = true, now = 1.seconds) shouldBe FleetTable.Change.REFRESHED
                table.changesSince(known, directOnly = false) shouldBe emptyList()
                table.applyReport(holding(3, "c"), direct = true, now = 5.seconds) shouldBe FleetTable.Change.REFRESHED
                table.changesSince(known, directOnly = false).single().models shouldBe listOf(LoadedModel("m", mapOf("c" to 1L)))
            }
        }

        describe("a server whose unchanged report was received by another instance") {
            it("stays alive and keeps its recorded state") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 4, phase = ServerPhase.DRAINING))
                table.refresh("s1", ReportVersion(1, 5), 4.seconds)
                table.aliveServers(8.seconds, 5.seconds).single().phase shouldBe ServerPhase.DRAINING
                table.applyReport(report(sequence = 5), direct = false, now = 4.seconds) shouldBe FleetTable.Change.NONE
            }

            it("is not added if it was not known before") {
                val table = FleetTable()
                table.refresh("s1", ReportVersion(1, 5), Duration.ZERO)
                table.ids() shouldBe emptyList()
            }
        }
    })
