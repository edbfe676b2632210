package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class SuspectTableSpec :
    DescribeSpec({
        val start = 1.minutes

        fun tableWithCrashes(vararg servers: String) =
            SuspectTable().apply { servers.forEachIndexed { index, server -> recordCrash("r", server, start + index.seconds) } }

        fun SuspectTable.reports(now: Duration = start) = changesSince(0, localOnly = false, now = now)

        describe("a request under which servers crash") {
            it("is a suspect after the first and quarantined after the third") {
                val table = tableWithCrashes("a")
                table.isSuspect("r") shouldBe true
                table.recordCrash("r", "b", start)
                table.isQuarantined("r") shouldBe false
                table.recordCrash("r", "c", start)
                table.isQuarantined("r") shouldBe true
            }

            it("is charged with each incarnation of a server once") {
                val table = tableWithCrashes("a@1", "a@1", "a@1", "a@2")
                table.crashes("r") shouldContainExactlyInAnyOrder setOf("a@1", "a@2")
            }

            it("is cleared of all earlier crashes once it is served") {
                val table = tableWithCrashes("a", "b")
                table.recordServed("r", start + 1.seconds)
                table.isSuspect("r") shouldBe false
                table.recordCrash("r", "c", start + 1.minutes)
                table.crashes("r") shouldContainExactlyInAnyOrder setOf("c")
            }

            it("is not blamed if the same request was served a moment ago") {
                val table = SuspectTable()
                table.recordServed("r", start)
                table.recordCrash("r", "a", start + 5.seconds)
                table.isSuspect("r") shouldBe false
            }

            it("stays in quarantine while it keeps coming, and is forgotten some time after it stopped") {
                val table = tableWithCrashes("a", "b", "c")
                var now = start
                repeat(60) {
                    now += 31.seconds
                    table.recordSeen("r", now)
                }
                table.recordCrash("other", "d", now + 9.minutes)
                table.isQuarantined("r") shouldBe true
                table.recordCrash("other", "e", now + 11.minutes)
                table.isQuarantined("r") shouldBe false
            }

            it("is not displaced by many innocent suspects") {
                val table = tableWithCrashes("a", "b", "c")
                repeat(5_000) { table.recordCrash("innocent-$it", "d", start + 5.seconds) }
                table.isQuarantined("r") shouldBe true
            }

            // Guards against requests that are never quarantined, since innocent ones displace their crashes before they come again.
            it("is quarantined although each server that crashes was running many innocent requests, 24 such requests in turn") {
                val table = SuspectTable()
                repeat(24 * 3) { crash ->
                    val now = start + 500.milliseconds * crash
                    repeat(60) { table.recordCrash("innocent-$crash-$it", "s$crash", now) }
                    table.recordCrash("r-${crash % 24}", "s$crash", now)
                }
                (0..23).count { table.isQuarantined("r-$it") } shouldBe 24
            }

            it("is not displaced by requests that have been cleared") {
                val table = tableWithCrashes("a")
                repeat(5_000) {
                    table.recordCrash("cleared-$it", "b", start + 5.seconds)
                    table.recordServed("cleared-$it", start + 6.seconds)
                }
                table.isSuspect("r") shouldBe true
            }
        }

        describe("a key that requests share") {
            it("explains the crashes of requests that ran beside them") {
                val table = SuspectTable()
                for (server in listOf("a", "b", "c")) table.recordCrash("innocent", server, start)
                for (server in listOf("a", "b", "c", "d")) table.recordCrash("part", server, start)
                table.isQuarantined("part") shouldBe true
                table.isSuspect("innocent") shouldBe false
            }

            it("does not explain crashes of other servers") {
                val table = SuspectTable()
                for (server in listOf("a", "x", "y", "z")) table.recordCrash("other", server, start)
                for (server in listOf("a", "b", "c", "d", "e")) table.recordCrash("part", server, start)
                table.isQuarantined("other") shouldBe true
                table.crashes("other") shouldBe setOf("x", "y", "z")
            }

            it("explains nothing before it is quarantined") {
                val table = SuspectTable().apply { recordCrash("innocent", "a", start) }
                for (server in listOf("a", "b")) table.recordCrash("part", server, start)
                table.isSuspect("innocent") shouldBe true
            }

            it("is found among common and rare sound ones, seeds 1 to 200") {
                for (seed in 1..200) {
                    val random = Random(seed)
                    val table = SuspectTable()
                    var now = start
                    repeat(12) { round ->
                        repeat(random.nextInt(1, 8)) {
                            val sound = listOf("common", "rare-${random.nextInt(40)}")
                            now += 30.milliseconds
                            if (random.nextInt(3) == 0) sound.forEach { table.recordServed(it, now) }
                            sound.forEach { table.recordCrash(it, "s$round", now) }
                        }
                        if (!table.isQuarantined("bad")) (listOf("common", "bad")).forEach { table.recordCrash(it, "s$round", now) }
                        now += 400.milliseconds
                    }
                    check(table.isQuarantined("bad")) { "seed $seed: the part that crashes servers is not quarantined" }
                    check(!table.isQuarantined("common")) { "seed $seed: the common part is quarantined" }
                }
            }
        }

        describe("reports of other instances") {
            it("are merged, so that crashes seen by different instances add up") {
                val table = tableWithCrashes("a")
                tableWithCrashes("b", "c").reports().forEach { table.merge(it, start) }
                table.isQuarantined("r") shouldBe true
            }

            it("clear a suspect that another instance has served") {
                val other = tableWithCrashes("a", "b").apply { recordServed("r", start) }
                val table = tableWithCrashes("a", "b")
                other.reports().forEach { table.merge(it, start) }
                table.isSuspect("r") shouldBe false
            }

            it("about a request that was served here a moment ago are answered with its clearance") {
                val table = SuspectTable().apply { recordServed("r", start) }
                tableWithCrashes("a", "b", "c").reports().forEach { table.merge(it, start) }
                table.isQuarantined("r") shouldBe false
                table.changesSince(0, localOnly = true, now = start).single().cleared shouldBe setOf("a", "b", "c")
            }

            it("that bring nothing new change nothing, so that they are not passed on for ever") {
                val table = tableWithCrashes("a")
                val revision = table.revision
                table.reports(start + 100.milliseconds).forEach { table.merge(it, start + 200.milliseconds) }
                table.revision shouldBe revision
                table.changesSince(revision, localOnly = false, now = start).shouldBeEmpty()
            }

            it("lead to the same verdicts in whatever order and however often they arrive, seeds 1 to 200") {
                for (seed in 1..200) {
                    val random = Random(seed)
                    val sources = List(4) { SuspectTable() }
                    repeat(40) {
                        val key = "r${random.nextInt(4)}"
                        val now = start + it.seconds * 11
                        val source = sources.random(random)
                        if (random.nextInt(6) == 0) source.recordServed(key, now) else source.recordCrash(key, "s${random.nextInt(9)}", now)
                        if (random.nextBoolean()) {
                            val to = sources.random(random)
                            source.reports(now).shuffled(random).forEach { report -> to.merge(report, now) }
                        }
                    }
                    val end = start + 8.minutes
                    repeat(2) { for (from in sources) for (to in sources) from.reports(end).forEach { to.merge(it, end) } }
                    val verdicts = sources.map { table -> (0..3).map { table.crashes("r$it") } }
                    check(verdicts.toSet().size == 1) { "seed $seed: $verdicts" }
                }
            }
        }
    })
