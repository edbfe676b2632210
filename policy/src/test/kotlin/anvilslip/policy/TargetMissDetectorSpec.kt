package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class TargetMissDetectorSpec :
    DescribeSpec({
        describe("a service class") {
            it("misses its target if too many requests miss it, and reports the main cause") {
                val detector = TargetMissDetector()
                repeat(9) { detector.record(null, Duration.ZERO) shouldBe false }
                detector.record("load", Duration.ZERO) shouldBe true
                detector.isMissingTarget shouldBe true
                detector.cause shouldBe "load"
            }

            it("recovers after the misses have left the window") {
                val detector = TargetMissDetector()
                repeat(5) { detector.record("load", Duration.ZERO) }
                detector.update(11.seconds) shouldBe true
                detector.isMissingTarget shouldBe false
            }
        }
    })
