package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EntryTrackerSpec :
    DescribeSpec({
        fun entry(
            host: String,
            ready: Boolean = true,
            known: Int = 0,
        ) = EntryInstance(host, "$host:80", "z", "r", ready, known)

        fun tracker(vararg entries: EntryInstance) = EntryTracker(Duration.ZERO).apply { entries.forEach { record(it, 3.seconds) } }

        describe("the number of entry instances in use") {
            it("is unknown until an instance that has just started can have heard of all") {
                val tracker = EntryTracker(Duration.ZERO)
                tracker.record(entry("a"), 1.seconds)
                tracker.inUseCount(2.seconds) shouldBe 0
                tracker.inUseCount(2200.milliseconds) shouldBe 1
            }

            it("includes instances that are about to stop while they report, since they still send requests") {
                val tracker = tracker(entry("a"), entry("b", ready = false))
                tracker.inUseCount(3.seconds) shouldBe 2
                tracker.ready(3.seconds).map { it.host } shouldBe listOf("a")
                tracker.inUseCount(6.seconds) shouldBe 1
            }

            it("includes instances that have stopped reporting, since they may be cut off and send requests on their own") {
                val tracker = tracker(entry("a"), entry("b"))
                tracker.record(entry("a"), 10.seconds)
                tracker.inUseCount(10.seconds) shouldBe 2
                tracker.inUseCount(64.seconds) shouldBe 1
            }
        }

        describe("the hosts of the entry instances in use") {
            // Guards against delegates that are chosen from an incomplete list.
            it("are those that are counted, in ascending order") {
                val tracker = tracker(entry("b"), entry("a"), entry("c", ready = false))
                tracker.hostsInUse(3.seconds) shouldBe listOf("a", "b", "c")
                tracker.hostsInUse(6.seconds) shouldBe listOf("a", "b")
                tracker.hostsInUse(2.seconds) shouldBe emptyList()
            }
        }

        describe("the share of reachable entry instances") {
            it("falls once an instance in use has not reported for a while") {
                val tracker = tracker(entry("a"), entry("b"), entry("c"), entry("d"))
                tracker.record(entry("a"), 4.seconds)
                tracker.reachableShare(4200.milliseconds) shouldBe 1.0
                tracker.reachableShare(4300.milliseconds) shouldBe 0.25
            }

            it("takes into account instances that only other control instances have heard of") {
                tracker(entry("a", known = 4)).reachableShare(3.seconds) shouldBe 0.25
            }

            it("is nothing while no instance is known, since those that are cut off may spend all") {
                EntryTracker(Duration.ZERO).reachableShare(1.seconds) shouldBe 0.0
            }
        }
    })
