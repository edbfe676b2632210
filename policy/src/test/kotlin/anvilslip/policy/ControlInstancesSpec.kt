package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ControlInstancesSpec :
    DescribeSpec({
        describe("ControlInstances") {
            context("when a control instance is replaced for good") {
                it("forgets it once the others have not reported it for a while") {
                    val controls = ControlInstances(setOf("seed"))
                    controls.record(setOf("seed", "old"), 1.seconds)
                    controls.record(setOf("seed", "new"), 20.seconds)
                    controls.hosts shouldBe setOf("seed", "old", "new")
                    controls.record(setOf("seed", "new"), 40.seconds)
                    controls.hosts shouldBe setOf("seed", "new")
                }

                it("keeps it as long as the settings name it") {
                    val controls = ControlInstances(setOf("seed"))
                    controls.record(setOf("a"), 1.minutes)
                    controls.hosts shouldBe setOf("seed", "a")
                }

                it("forgets a former seed that nobody reports") {
                    val controls = ControlInstances(setOf("seed"))
                    controls.record(setOf("seed", "a"), 1.seconds)
                    controls.seeds = setOf("a")
                    controls.hosts shouldBe setOf("seed", "a")
                    controls.record(setOf("a"), 1.minutes)
                    controls.hosts shouldBe setOf("a")
                }
            }

            context("when no control instance can be reached") {
                it("forgets none, however long that lasts") {
                    val controls = ControlInstances(setOf("seed"))
                    controls.record(setOf("a", "b"), 1.seconds)
                    controls.hosts shouldBe setOf("seed", "a", "b")
                }

                it("forgets none that the first answer afterwards reports") {
                    val controls = ControlInstances(setOf("seed"))
                    controls.record(setOf("a", "b"), 1.seconds)
                    controls.record(setOf("a", "b"), 10.minutes)
                    controls.hosts shouldBe setOf("seed", "a", "b")
                }
            }
        }
    })
