package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import kotlin.random.Random

/** Guards against servers that get far fewer requests than they take, while they name a limit or after they have named one. */
class ServerLimitUseSpec :
    DescribeSpec({
        for (entries in listOf(9, 90)) {
            for (seed in limitSeeds) {
                describe("$entries entry instances, schedule $seed") {
                    val trial = ServerLimitTrial(entries, Random(seed)).also { it.run() }

                    it("send most of what the limit allows, and everything once no limit is named") {
                        trial.shortfalls().shouldBeEmpty()
                    }
                }
            }
        }
    })
