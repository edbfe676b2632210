package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import kotlin.time.Duration.Companion.seconds

class DrainScheduleSpec :
    DescribeSpec({
        describe("an instance with a shutdown time of eight seconds") {
            val schedule = DrainSchedule(8.seconds)

            it("leaves enough time for a four-second stream that is accepted last") {
                schedule.completionPeriod shouldBeGreaterThan 4.seconds
            }

            it("accepts requests for less than three seconds and completes before it is killed") {
                schedule.acceptPeriod shouldBeLessThan 3.seconds
                (schedule.acceptPeriod + schedule.completionPeriod) shouldBeLessThan 8.seconds
            }
        }
    })
