package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class PlacementSpec :
    DescribeSpec({
        val crest = AdapterVersion("crest", "v1")

        fun engine(
            name: String = "e1",
            slots: Int = 1,
            batch: Int = 2,
            loaded: List<AdapterVersion> = emptyList(),
            incarnation: String = "1",
            leaving: Boolean = false,
        ) = Announcement(name, incarnation, BackendKind.MODEL, "base", "127.0.0.1:1", "z", slots, batch, false, loaded, leaving = leaving)

        fun request(
            id: Long,
            adapter: AdapterVersion = crest,
            deadline: Duration = 5.seconds,
            suspect: String? = null,
        ) = PlacementRequest(id, "i1", "w", "base", adapter, deadline, 1.0, suspect = suspect)

        fun placement(vararg engines: Announcement): Placement {
            val placement = Placement(PlacementOptions(), Duration.ZERO, hasPredecessor = false)
            engines.forEach { placement.applyAnnouncement(it, Duration.ZERO) }
            return placement
        }

        describe("a request for a loaded adapter") {
            it("is placed immediately") {
                val output = placement(engine(loaded = listOf(crest))).place(request(1), Duration.ZERO)
                output.answers.single().decision shouldBe PlacementDecision.Placed("e1", lease = 1)
            }

            it("is not placed on a leaving server") {
                val output = placement(engine(loaded = listOf(crest), leaving = true)).place(request(1), Duration.ZERO)
                output.answers
                    .single()
                    .decision
                    .shouldBeInstanceOf<PlacementDecision.Refused>()
                    .reason shouldBe RefusalReason.NO_SERVER
            }
        }

        describe("requests for an adapter that is not loaded") {
            it("share one load and are all placed when it finishes") {
                val placement = placement(engine())
                val orders = placement.place(request(1), Duration.ZERO).orders + placement.place(request(2), Duration.ZERO).orders
                orders shouldHaveSize 1
                val done = placement.recordLoadResult("e1", crest, true, 300.milliseconds)
                done.answers.map { it.decision } shouldBe List(2) { PlacementDecision.Placed("e1", lease = 1, stalledMillis = 300) }
            }

            it("are refused immediately, with a retry delay, if the load would finish too late") {
                val output = placement(engine()).place(request(1, deadline = 100.milliseconds), Duration.ZERO)
                output.answers
                    .single()
                    .decision
                    .shouldBeInstanceOf<PlacementDecision.Refused>()
                    .reason shouldBe RefusalReason.LOAD_TOO_SLOW
            }

            it("cause another load after a failed one while their deadline allows it") {
                val placement = placement(engine())
                placement.place(request(1), Duration.ZERO)
                placement.recordLoadResult("e1", crest, false, 300.milliseconds)
                placement.tick(500.milliseconds).orders shouldHaveSize 1
            }
        }

        describe("eviction") {
            val other = AdapterVersion("badge", "v1")

            it("excludes an adapter on which an instance holds a lease") {
                val placement = placement(engine(loaded = listOf(crest)))
                placement.place(request(1), Duration.ZERO)
                placement.place(request(2, other), 1.seconds).orders.shouldBeEmpty()
            }

            it("excludes an adapter with an expired lease while its server reports running requests") {
                val placement = placement(engine(loaded = listOf(crest)))
                placement.place(request(1), Duration.ZERO)
                val running = engine(loaded = listOf(crest)).copy(running = mapOf(crest to 1))
                placement.applyAnnouncement(running, 4.seconds)
                placement.tick(5.seconds).orders.shouldBeEmpty()
                placement.place(request(2, other, deadline = 9.seconds), 5.seconds).orders.shouldBeEmpty()
            }

            it("evicts an adapter that was released") {
                val placement = placement(engine(loaded = listOf(crest)))
                placement.place(request(1), Duration.ZERO)
                placement.renewLeases(
                    "i1",
                    listOf(AdapterUse("e1", crest, 0, placements = 1, lease = 1, released = true)),
                    100.milliseconds,
                )
                placement
                    .place(request(2, other), 1.seconds)
                    .orders
                    .single()
                    .evict shouldBe crest
            }

            it("ignores a release that was sent before a further placement arrived") {
                val placement = placement(engine(loaded = listOf(crest)))
                placement.place(request(1), Duration.ZERO)
                placement.place(request(2), Duration.ZERO)
                placement.renewLeases(
                    "i1",
                    listOf(AdapterUse("e1", crest, 0, placements = 1, lease = 1, released = true)),
                    100.milliseconds,
                )
                placement.place(request(3, other), 1.seconds).orders.shouldBeEmpty()
            }

            it("ignores a release of an earlier lease") {
                val placement = placement(engine(loaded = listOf(crest)))
                val release = listOf(AdapterUse("e1", crest, 0, placements = 1, lease = 1, released = true))
                placement.place(request(1), Duration.ZERO)
                placement.renewLeases("i1", release, 100.milliseconds)
                placement.place(request(2), 200.milliseconds)
                placement.renewLeases("i1", release, 300.milliseconds)
                placement.place(request(3, other), 1.seconds).orders.shouldBeEmpty()
            }

            it("is delayed under a new leader until all leases of its predecessor have expired") {
                val placement = Placement(PlacementOptions(), Duration.ZERO, hasPredecessor = true)
                placement.applyAnnouncement(engine(loaded = listOf(crest)), Duration.ZERO)
                placement.place(request(1, other), 1.seconds).orders.shouldBeEmpty()
                placement.applyAnnouncement(engine(loaded = listOf(crest)), 2900.milliseconds)
                placement
                    .tick(3100.milliseconds)
                    .orders
                    .single()
                    .evict shouldBe crest
            }
        }

        describe("suspects") {
            it("do not share a server") {
                val placement = placement(engine(loaded = listOf(crest), batch = 8))
                placement
                    .place(request(1, suspect = "f1"), Duration.ZERO)
                    .answers
                    .single()
                    .decision shouldBe PlacementDecision.Placed("e1", lease = 1)
                val second =
                    placement
                        .place(request(2, suspect = "f2"), Duration.ZERO)
                        .answers
                        .single()
                        .decision
                second.shouldBeInstanceOf<PlacementDecision.Refused>()
            }
        }

        describe("a server that restarts") {
            it("loses its adapters") {
                val placement = placement(engine(loaded = listOf(crest)))
                placement.applyAnnouncement(engine(incarnation = "2"), 1.seconds)
                placement.loadedOn("e1").shouldBeEmpty()
            }
        }

        describe("random runs with delayed and lost messages, restarts and leader changes") {
            for (seed in 1L..30L) {
                it("evict no adapter in use and answer each request once with seed $seed") {
                    val run = RandomPlacementRun(seed)
                    run.run(3.minutes)
                    run.placed shouldBeGreaterThan 0
                }
            }
        }
    })
