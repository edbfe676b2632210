package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEEDS = 60L

class ReplicaCoreSpec :
    DescribeSpec({
        describe("replicas without state") {
            it("found a log once all of them are there, and only then") {
                val replicas = SimulatedReplicas(seed = 1)
                replicas.start(replicas.hosts[0])
                replicas.start(replicas.hosts[1])
                replicas.run(5.seconds)
                replicas.hosts[0].core!!.isUninitialized shouldBe true
                replicas.start(replicas.hosts[2])
                replicas.run(5.seconds)
                replicas.leaseHolders.size shouldBe 1
            }
        }

        describe("a replica that lost its disk") {
            it("comes back under a new identity and is repaired, so that a second loss right after is survived") {
                val replicas = settled(seed = 2)
                repeat(50) { replicas.propose(replicas.leaseHolders.first()) }
                replicas.run(1.seconds)
                val first = replicas.hosts.first { it !in replicas.leaseHolders }
                replicas.loseDisk(first)
                replicas.start(first)
                runUntil(replicas) { replicas.repaired }
                val second = replicas.hosts.first { it != first && it !in replicas.leaseHolders }
                replicas.loseDisk(second)
                replicas.run(5.seconds)
                replicas.leaseHolders.size shouldBe 1
                replicas.checkAcknowledged(replicas.leaseHolders.first())
                replicas.acknowledgedCount shouldBe 50
            }
        }

        describe("an isolated leader") {
            it("loses its lease before another is elected and accepts nothing more") {
                val replicas = settled(seed = 3)
                val old = replicas.leaseHolders.first()
                for (other in replicas.hosts - old) {
                    replicas.cut(old.name, other.name)
                    replicas.cut(other.name, old.name)
                }
                replicas.run(5.seconds)
                replicas.leaseHolders.first() shouldBe replicas.leaseHolders.single { it != old }
                old.core!!.role shouldBe ReplicaRole.FOLLOWER
            }
        }

        describe("a leader that one follower cannot hear") {
            it("keeps its lease alone while the other still hears it") {
                val replicas = settled(seed = 5)
                val leader = replicas.leaseHolders.first()
                val deaf = replicas.hosts.first { it != leader }
                replicas.cut(leader.name, deaf.name)
                replicas.run(10.seconds)
                replicas.leaseHolders.single() shouldBe leader
            }
        }

        describe("two replicas that are cut apart") {
            it("leave neither with the lease") {
                val replicas = SimulatedReplicas(seed = 6, names = listOf("a", "b"))
                replicas.hosts.forEach(replicas::start)
                replicas.run(5.seconds)
                replicas.leaseHolders.size shouldBe 1
                replicas.cut("a", "b")
                replicas.cut("b", "a")
                replicas.run(5.seconds)
                replicas.leaseHolders.size shouldBe 0
            }
        }

        describe("a follower that hears the leader but is not heard") {
            it("does not unseat the leader when it is heard again") {
                val replicas = settled(seed = 4)
                val leader = replicas.leaseHolders.first()
                val deaf = replicas.hosts.first { it != leader }
                for (other in replicas.hosts - deaf) replicas.cut(other.name, deaf.name)
                replicas.run(5.seconds)
                replicas.heal()
                replicas.run(2.seconds)
                replicas.leaseHolders.single() shouldBe leader
            }
        }

        describe("random runs with kills, lost disks, cuts, freezes, duplicates and reordering") {
            for (seed in 1L..SEEDS) {
                it("keep every invariant with seed $seed") { RandomReplicaRun(seed).run(steps = 60) shouldBeGreaterThan 0 }
            }
        }
    })

private fun settled(seed: Long): SimulatedReplicas {
    val replicas = SimulatedReplicas(seed)
    replicas.hosts.forEach(replicas::start)
    runUntil(replicas) { replicas.leaseHolders.size == 1 }
    return replicas
}

private fun runUntil(
    replicas: SimulatedReplicas,
    condition: () -> Boolean,
) {
    repeat(600) {
        if (condition()) return
        replicas.run(100.milliseconds)
    }
    error(replicas.fail("not reached"))
}
