package anvilslip.state

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Injects random faults into [SimulatedReplicas], then ends all faults and checks that no acknowledged change was lost. */
internal class RandomReplicaRun(
    seed: Long,
    private val replicas: SimulatedReplicas = SimulatedReplicas(seed, HOSTS.take(HOST_COUNTS[(seed % HOST_COUNTS.size).toInt()])),
) {
    private val random = replicas.random

    /** Injects [steps] faults and returns the number of acknowledged changes. */
    fun run(steps: Int): Int {
        replicas.hosts.forEach(replicas::start)
        replicas.run(5.seconds)
        repeat(steps) {
            injectFault()
            replicas.run(random.nextInt(50, 1500).milliseconds) { if (random.nextInt(4) == 0) proposeOnAllHosts() }
        }
        recoverAll()
        replicas.run(60.seconds) { if (random.nextInt(20) == 0) proposeOnAllHosts() }
        replicas.run(3.seconds)
        check(replicas.fullyReplicated) { replicas.failureMessage("replicas did not catch up after the faults ended") }
        replicas.leaseHolders.forEach(replicas::checkAcknowledged)
        replicas.hosts
            .filter {
                replicas.id(
                    it,
                ) in
                    replicas.leaseHolders
                        .single()
                        .core!!
                        .currentVoters
            }.forEach(replicas::checkAcknowledged)
        return replicas.acknowledgedCount
    }

    private fun proposeOnAllHosts() {
        for (host in replicas.hosts.shuffled(random)) replicas.propose(host)
    }

    private fun injectFault() {
        val host = replicas.hosts.random(random)
        when (random.nextInt(10)) {
            0, 1 -> {
                replicas.crash(host)
            }

            2, 3, 4 -> {
                replicas.hosts.filter { it.core == null }.forEach(replicas::start)
            }

            5 -> {
                if (replicas.fullyReplicated) replicas.loseDisk(host)
            }

            6 -> {
                injectPartition()
            }

            7 -> {
                replicas.healLinks()
            }

            8 -> {
                replicas.pause(host, random.nextInt(100, 4000).milliseconds)
            }

            9 -> {
                replicas.lossRate = random.nextDouble() * 0.2
                replicas.crashRate = random.nextDouble() * 0.003
            }
        }
    }

    /** Isolates a host in one or both directions, cuts the link between two hosts, or splits the hosts into two groups. */
    private fun injectPartition() {
        val shuffled = replicas.hosts.shuffled(random)
        when (random.nextInt(4)) {
            0 -> partition(shuffled.take(1), shuffled.drop(1), bothWays = true)
            1 -> partition(shuffled.take(1), shuffled.drop(1), bothWays = false)
            2 -> partition(shuffled.take(1), shuffled.drop(1).take(1), bothWays = random.nextBoolean())
            3 -> partition(shuffled.take(shuffled.size / 2), shuffled.drop(shuffled.size / 2), bothWays = true)
        }
    }

    private fun partition(
        group: List<SimulatedReplicas.Host>,
        others: List<SimulatedReplicas.Host>,
        bothWays: Boolean,
    ) {
        for (member in group) {
            for (other in others) {
                replicas.cutLink(member.name, other.name)
                if (bothWays) replicas.cutLink(other.name, member.name)
            }
        }
    }

    private fun recoverAll() {
        replicas.healLinks()
        replicas.lossRate = 0.0
        replicas.crashRate = 0.0
        replicas.hosts.filter { it.core == null }.forEach(replicas::start)
    }

    private companion object {
        val HOSTS = listOf("a", "b", "c", "d", "e")
        val HOST_COUNTS = listOf(3, 3, 5, 4)
    }
}
