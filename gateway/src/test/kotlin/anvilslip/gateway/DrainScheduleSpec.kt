package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import kotlin.time.Duration.Companion.seconds

class DrainScheduleSpec :
    DescribeSpec({
        describe("an instance that has eight seconds to stop") {
            val schedule = DrainSchedule(8.seconds)

            it("leaves a stream of four seconds that it takes in last the time to end") {
                schedule.completionPeriod shouldBeGreaterThan 4.seconds
            }

            it("takes requests in for less than three seconds, and ends before it is killed") {
                schedule.acceptPeriod shouldBeLessThan 3.seconds
                (schedule.acceptPeriod + schedule.completionPeriod) shouldBeLessThan 8.seconds
            }
        }
    })
