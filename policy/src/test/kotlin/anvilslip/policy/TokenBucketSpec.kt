package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class TokenBucketSpec :
    DescribeSpec({
        fun bucket(start: CheckpointBounds? = null) = TokenBucket(rate = 10.0, burst = 100.0, now = Duration.ZERO, start = start) { 1 }

        describe("a bucket without a committed checkpoint") {
            it("grants nothing") { bucket().grant("a", 1.0, 1.0, Duration.ZERO).tokens shouldBe 0.0 }

            it("reports that it needs one") { bucket().needsCheckpoint(1.0) shouldBe true }
        }

        describe("a bucket with a committed checkpoint") {
            it("grants at most the committed chunk") {
                val bucket = bucket()
                bucket.commitCheckpoint(bucket.checkpoint(Duration.ZERO, needed = 25.0))
                bucket.grant("a", 1.0, 100.0, Duration.ZERO).tokens shouldBe 25.0
            }

            it("does not refill while tokens are outstanding") {
                val bucket = bucket()
                bucket.commitCheckpoint(bucket.checkpoint(Duration.ZERO, needed = 25.0))
                bucket.grant("a", 25.0, 25.0, Duration.ZERO)
                bucket.checkpoint(1.seconds)
                bucket.level shouldBe 75.0
            }

            it("restores the tokens that an instance returns") {
                val bucket = bucket()
                bucket.commitCheckpoint(bucket.checkpoint(Duration.ZERO, needed = 25.0))
                val grant = bucket.grant("a", 25.0, 25.0, Duration.ZERO)
                bucket.applyUsage("a", Usage(grant.epoch, spent = 5.0, returned = 20.0), Duration.ZERO)
                bucket.level shouldBe 95.0
                bucket.outstanding shouldBe 0.0
            }

            it("counts expired grants without a usage report as spent") {
                val bucket = bucket()
                bucket.commitCheckpoint(bucket.checkpoint(Duration.ZERO, needed = 25.0))
                bucket.grant("a", 25.0, 25.0, Duration.ZERO)
                bucket.checkpoint(3.seconds)
                bucket.outstanding shouldBe 0.0
                bucket.level shouldBe 100.0
            }
        }

        describe("a workspace whose rate fills its burst each second") {
            it("leaves most of its burst to the next owner") {
                val bucket = TokenBucket(rate = 1000.0, burst = 1000.0, now = Duration.ZERO) { 1 }
                bucket.commitCheckpoint(bucket.checkpoint(Duration.ZERO, needed = 10.0))
                bucket.grant("a", 10.0, 10.0, Duration.ZERO)
                val next = TokenBucket(rate = 1000.0, burst = 1000.0, now = 1.seconds, start = bucket.checkpoint(1.seconds)) { 2 }
                next.level shouldBeGreaterThan 700.0
            }
        }

        describe("the next owner after the previous one was lost") {
            it("starts from the committed checkpoint and withholds tokens that may still be spent") {
                val bucket = bucket(CheckpointBounds(level = 60.0, outstanding = 25.0, chunk = 0.0))
                bucket.level shouldBe 60.0
                bucket.checkpoint(1900.milliseconds)
                bucket.level shouldBe 75.0
                bucket.checkpoint(10.seconds)
                bucket.level shouldBe 100.0
            }
        }

        describe("a workspace that requests several times its rate on all instances") {
            for (seed in 1L..40L) {
                it("never exceeds its burst and rate, and gets more than 30 % of them, with seed $seed") {
                    RandomLimitRun(seed).run(2.minutes) shouldBeGreaterThan 0.3
                }
            }
        }
    })
