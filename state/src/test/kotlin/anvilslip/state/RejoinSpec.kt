package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RejoinSpec :
    DescribeSpec({
        fun SimulatedReplicas.runUntil(condition: () -> Boolean) {
            repeat(600) {
                if (condition()) return
                run(100.milliseconds)
            }
            error(failureMessage("condition not reached within 60 s"))
        }

        /** Restarts leaders until [host], which is not a member, leads. */
        fun SimulatedReplicas.letLead(host: SimulatedReplicas.Host) {
            runUntil {
                val leader = leaseHolders.firstOrNull()
                if (leader != null && leader != host) {
                    crash(leader)
                    run(5.seconds)
                    start(leader)
                }
                leaseHolders.firstOrNull() == host
            }
        }

        describe("a member that lost its disk while a replica leads that is not a member") {
            // Guards against a voter that is missing for good, so that the next loss of disks is one more than the log can bear.
            it("becomes a voter again") {
                val options = ReplicaOptions(entriesBetweenSnapshots = 40, retainedEntries = 10, voterTarget = 3)
                val replicas = SimulatedReplicas(seed = 1, listOf("a", "b", "c", "d"), options, members = setOf("a", "b", "c"))
                val (a, b, _, d) = replicas.hosts
                replicas.hosts.forEach(replicas::start)
                replicas.runUntil { replicas.leaseHolders.isNotEmpty() }
                replicas.crash(a)
                replicas.runUntil { replicas.leaseHolders.any { replicas.id(d) in it.core!!.currentVoters } }
                replicas.letLead(d)
                replicas.loseDisk(b)
                replicas.start(b)
                replicas.run(10.seconds)
                (replicas.id(b) in d.core!!.currentVoters) shouldBe true
            }
        }
    })
