package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan

/** First seed and number of seeds, so that long runs can be started by hand, as in `-DpowerLossFirstSeed=1000 -DpowerLossSeeds=5000`. */
private val firstSeed = System.getProperty("powerLossFirstSeed")?.toLong() ?: 1L
private val seeds = System.getProperty("powerLossSeeds")?.toLong() ?: 8L

/** Guards against acknowledged changes that are lost when the tolerated number of disks is lost while all other hosts lose power. */
class PowerLossSpec :
    DescribeSpec({
        fun options(
            voterTarget: Int?,
            entriesBetweenSnapshots: Int,
        ) = ReplicaOptions(entriesBetweenSnapshots = entriesBetweenSnapshots, retainedEntries = 3, voterTarget = voterTarget)

        fun run(
            seed: Long,
            hosts: Int,
            members: Int,
            voterTarget: Int?,
            toleratedLosses: Int,
        ) {
            val names = ('a'..'z').take(hosts).map { it.toString() }
            val replicas = SimulatedReplicas(seed, names, options(voterTarget, if (seed % 2 == 0L) 10 else 40), names.take(members).toSet())
            RandomPowerLossRun(replicas, toleratedLosses).run(steps = 25) shouldBeGreaterThan 0
        }

        for (seed in firstSeed until firstSeed + seeds) {
            describe("the loss of power and disks with seed $seed") {
                it("loses no acknowledged change with three members") { run(seed, 3, 3, null, 1) }

                it("loses no acknowledged change with five members") { run(seed, 5, 5, null, 2) }

                it("loses no acknowledged change with three voters and an open membership") { run(seed, 5, 3, 3, 1) }

                it("loses no acknowledged change with five voters and an open membership") { run(seed, 5, 5, 5, 2) }

                it("loses no acknowledged change with five voters and two learners") { run(seed, 7, 5, 5, 2) }
            }
        }

        describe("the loss of disks and power while the successor of a voter is not committed as a voter") {
            // With this seed the run counted the voter's loss as made good too early, and so lost one disk more than is tolerated.
            it("loses no acknowledged change with seed 1467 and three voters") { run(1467, 5, 3, 3, 1) }
        }

        describe("the loss of disks while a replica leads that is not a member") {
            // With these seeds the replicas that lost their disks never reached the leader, so that a voter was missing for good.
            for (seed in listOf(11L, 12L, 13L, 40L, 53L, 71L, 82L, 83L, 87L, 92L)) {
                it("is made good with seed $seed") { run(seed, 7, 5, 5, 2) }
            }

            it("is made good with seed 69 and three voters") { run(69, 5, 3, 3, 1) }
        }
    })
