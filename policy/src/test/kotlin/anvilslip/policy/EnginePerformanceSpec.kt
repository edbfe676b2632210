package anvilslip.policy

import anvilslip.policy.ServicePerformance.Sample
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EnginePerformanceSpec :
    DescribeSpec({
        fun service() = ServicePerformance(initialMillisPerUnit = 0.05, initialMillisPerRunning = 0.5)

        /** Answers of an engine that takes [factor] times as long as the initial estimate, from [from] to [to], one every 250 ms. */
        fun EnginePerformance.answer(
            from: Duration,
            to: Duration,
            factor: Double,
            work: Double = 2_000.0,
        ) {
            var at = from
            while (at < to) {
                observe(Sample(work, 0, (work * 0.05 * factor).milliseconds, at))
                at += 250.milliseconds
            }
        }

        describe("an engine without answers") {
            it("has the mean speed of its service") {
                val service = service()
                val known = EnginePerformance(service)
                known.answer(Duration.ZERO, 200.seconds, 2.0)
                EnginePerformance(service).expectedTime(1_000.0, 0).inWholeMilliseconds.toDouble() shouldBe (100.0 plusOrMinus 3.0)
            }
        }

        describe("engines of different speed") {
            it("get estimates near their own speeds while the mean of the service lies between them") {
                val service = service()
                val slow = EnginePerformance(service)
                val fast = EnginePerformance(service)
                repeat(100) {
                    slow.answer(it.seconds, (it + 1).seconds, 1 / 0.7)
                    fast.answer(it.seconds, (it + 1).seconds, 1 / 1.7)
                }
                slow.speed shouldBe (20 * 0.7 plusOrMinus 20 * 0.7 * 0.1)
                fast.speed shouldBe (20 * 1.7 plusOrMinus 20 * 1.7 * 0.1)
            }
        }

        describe("a slow spell") {
            fun afterSpell(length: Duration): EnginePerformance {
                val service = service()
                val others = EnginePerformance(service)
                val engine = EnginePerformance(service)
                repeat(20) {
                    others.answer(it.seconds, (it + 1).seconds, 1.0)
                    engine.answer(it.seconds, (it + 1).seconds, 1.0)
                }
                engine.answer(20.seconds, 20.seconds + length, 2.5)
                return engine
            }

            it("of less than a second changes the estimate by less than a tenth") {
                afterSpell(900.milliseconds).speed shouldBeGreaterThan 20 * 0.9
            }

            it("that lasts shows within three seconds of answers") {
                afterSpell(3.seconds).speed shouldBeLessThan 20 / 1.9
            }
        }

        describe("a process that has started") {
            val engine = EnginePerformance(service())
            engine.answer(Duration.ZERO, 20.seconds, 0.5)
            val meanSpeed = engine.speed
            engine.restart()
            val restarted = engine.speed
            engine.answer(21.seconds, 21.1.seconds, 0.5)

            it("is assumed to run at 0.6 of the mean of the service until its first answer") {
                restarted shouldBe (meanSpeed * 0.6 plusOrMinus meanSpeed * 0.1)
            }

            it("gets a normal estimate with its first answer") {
                engine.speed shouldBe (meanSpeed plusOrMinus meanSpeed * 0.1)
            }
        }

        describe("the cost of a running request") {
            it("is learnt from answers, beside the speed") {
                val service = service()
                val engine = EnginePerformance(service)
                val random = Random(1)
                repeat(2_000) {
                    val work = random.nextDouble(500.0, 4_000.0)
                    val running = random.nextInt(0, 40)
                    engine.observe(Sample(work, running, (work * 0.08 + running * 1.5).milliseconds, it.seconds / 4))
                }
                service.millisPerUnit shouldBe (0.08 plusOrMinus 0.008)
                service.millisPerRunning shouldBe (1.5 plusOrMinus 0.3)
            }
        }

        describe("an answer that takes no time") {
            it("is ignored, since event times can coincide") {
                val engine = EnginePerformance(service())
                engine.observe(Sample(1_000.0, 0, Duration.ZERO, 1.seconds))
                engine.speed shouldBe 20.0
            }
        }
    })
