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
            born: Long = 1,
            phase: ServerPhase = ServerPhase.READY,
            address: String = "10.0.0.1:80",
        ) = ServerReport(id, "service", address, "z", phase, born, sequence)

        fun FleetTable.applyDirect(report: ServerReport) = applyReport(report, direct = true, now = Duration.ZERO)

        fun FleetTable.ids() = aliveServers(Duration.ZERO, 5.seconds).map { it.id }

        describe("a report") {
            it("changes the table when the server is new, and refreshes it when it says the same again") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 1)) shouldBe FleetTable.Change.CHANGED
                table.applyDirect(report(sequence = 2)) shouldBe FleetTable.Change.REFRESHED
            }

            it("is dropped when it comes late") {
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

            it("counts anew when the server has started again under its ID") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 50, phase = ServerPhase.DRAINING))
                table.applyDirect(report(sequence = 1, born = 2)) shouldBe FleetTable.Change.CHANGED
                table["s1"]?.phase shouldBe ServerPhase.READY
            }
        }

        describe("news since a revision") {
            it("are changes, not reports that say the same again") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 1))
                val known = table.revision
                table.applyDirect(report(sequence = 2))
                table.hasChangedSince(known, directOnly = false) shouldBe false
                table.applyDirect(report(sequence = 3, phase = ServerPhase.DRAINING))
                table.hasChangedSince(known, directOnly = false) shouldBe true
            }

            it("last through later reports that refresh them") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 1))
                val known = table.revision
                table.applyDirect(report(sequence = 2, phase = ServerPhase.DRAINING))
                table.applyDirect(report(sequence = 3, phase = ServerPhase.DRAINING))
                table.hasChangedSince(known, directOnly = false) shouldBe true
            }

            it("leave out what came by way of others, for those who ask for reports made here") {
                val table = FleetTable()
                table.applyReport(report(sequence = 1), direct = false, now = Duration.ZERO)
                table.hasChangedSince(0, directOnly = true) shouldBe false
                table.hasChangedSince(0, directOnly = false) shouldBe true
            }
        }

        describe("an address that is used again") {
            it("belongs to the server that started last") {
                val table = FleetTable()
                table.applyDirect(report(id = "old", born = 1))
                table.applyDirect(report(id = "new", born = 2))
                table.ids() shouldBe listOf("new")
            }

            it("is not taken back by a late report of the server before") {
                val table = FleetTable()
                table.applyDirect(report(id = "new", born = 2))
                table.applyDirect(report(id = "old", born = 1, sequence = 9)) shouldBe FleetTable.Change.NONE
                table.ids() shouldBe listOf("new")
            }
        }

        describe("a server that has signed off") {
            it("is not brought back by a late report") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 5))
                table.deregister("s1", startedAtMillis = 9, now = Duration.ZERO) shouldBe FleetTable.Change.CHANGED
                table.applyDirect(report(sequence = 6)) shouldBe FleetTable.Change.NONE
                table.ids() shouldBe emptyList()
            }

            it("is not brought back by a late report when it was not known before") {
                val table = FleetTable()
                table.deregister("s1", startedAtMillis = 9, now = Duration.ZERO)
                table.applyDirect(report(sequence = 6, born = 8)) shouldBe FleetTable.Change.NONE
            }
        }

        describe("the changes since a revision") {
            it("leave out what came by way of others when they are asked for what was heard directly") {
                val table = FleetTable()
                table.applyReport(report(id = "far", address = "10.0.0.2:80"), direct = false, now = Duration.ZERO)
                table.applyDirect(report(id = "near"))
                table.changesSince(0, directOnly = true).map { it.id } shouldBe listOf("near")
                table.changesSince(0, directOnly = false).map { it.id } shouldBe listOf("far", "near")
                table.changesSince(table.revision, directOnly = false) shouldBe emptyList()
            }

            it("are numbers alone for servers that report here and say nothing new") {
                val table = FleetTable()
                table.applyDirect(report(id = "near", sequence = 1))
                val known = table.revision
                table.applyDirect(report(id = "near", sequence = 2))
                table.changesSince(known, directOnly = false) shouldBe emptyList()
                table.refreshedSince(known) shouldBe mapOf("near" to 2L)
                table.refreshedSince(0) shouldBe emptyMap()
            }

            it("name the adapters of a server now and then, not with each report") {
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

        describe("a server of which another instance says that it was heard") {
            it("stays alive, and keeps what is known of it") {
                val table = FleetTable()
                table.applyDirect(report(sequence = 4, phase = ServerPhase.DRAINING))
                table.refresh("s1", 5, 4.seconds)
                table.aliveServers(8.seconds, 5.seconds).single().phase shouldBe ServerPhase.DRAINING
                table.applyReport(report(sequence = 5), direct = false, now = 4.seconds) shouldBe FleetTable.Change.NONE
            }

            it("is not made known by that alone") {
                val table = FleetTable()
                table.refresh("s1", 5, Duration.ZERO)
                table.ids() shouldBe emptyList()
            }
        }
    })
