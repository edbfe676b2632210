package anvilslip.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import kotlin.random.Random

/** Guards against servers that get more requests than the limits that they name allow, summed over all entry instances. */
class ServerLimitSpec :
    DescribeSpec({
        for (entries in listOf(9, 90)) {
            for (seed in limitSeeds) {
                describe("$entries entry instances, schedule $seed") {
                    val trial = ServerLimitTrial(entries, Random(seed)).also { it.run() }

                    it("send no more than one and a half times the limit and five requests in any four seconds") {
                        trial.excesses().shouldBeEmpty()
                    }
                }
            }
        }
    })
