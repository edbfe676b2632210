package anvilslip.state

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Injects random faults into [SimulatedReplicas] and ends with the worst loss that is tolerated: some hosts lose their disks while all
 * others lose power during their writes. Checks that no acknowledged change was lost once all hosts are back.
 *
 * @param toleratedLosses number of disks that may be lost before the replicas that lost them have caught up
 */
internal class RandomPowerLossRun(
    private val replicas: SimulatedReplicas,
    private val toleratedLosses: Int,
) {
    private val random = replicas.random

    /** Hosts that lost their disks since all voters were last seen to be committed as such and to hold all entries. */
    private val lostDisks = mutableSetOf<SimulatedReplicas.Host>()

    /** Injects [steps] faults and the final loss; returns the number of acknowledged changes. */
    fun run(steps: Int): Int {
        replicas.hosts.forEach(replicas::start)
        replicas.run(5.seconds)
        replicas.tearsWrites = true
        repeat(steps) {
            injectFault()
            runWithProposals()
        }
        loseDisksAndPower()
        recoverAll()
        replicas.run(30.seconds)
        check(replicas.leaseHolders.isNotEmpty()) { replicas.failureMessage("no replica leads after the final loss") }
        replicas.run(10.seconds) { if (random.nextInt(20) == 0) propose() }
        replicas.run(3.seconds)
        check(replicas.fullyReplicated) { replicas.failureMessage("replicas did not catch up after the final loss") }
        val voters =
            replicas.leaseHolders
                .single()
                .core!!
                .currentVoters
        replicas.hosts.filter { replicas.id(it) in voters }.forEach(replicas::checkAcknowledged)
        return replicas.acknowledgedCount
    }

    private fun runWithProposals() =
        replicas.run(random.nextInt(20, 1500).milliseconds) {
            if (random.nextInt(3) == 0) propose()
            if (replicas.fullyReplicated && replicas.membershipCommitted) lostDisks.clear()
        }

    private fun propose() {
        for (host in replicas.hosts.shuffled(random)) replicas.propose(host)
    }

    private fun injectFault() {
        val host = replicas.hosts.random(random)
        when (random.nextInt(12)) {
            0 -> replicas.crash(host)
            1, 2, 3 -> startAll()
            4 -> loseDisk(host)
            5, 6 -> isolate(host)
            7, 8 -> replicas.healLinks()
            9 -> replicas.pause(host, random.nextInt(100, 4000).milliseconds)
            10 -> changeRates()
            11 -> replicas.losePowerWithin(SYNCS_BEFORE_POWER_LOSS)
        }
    }

    private fun changeRates() {
        replicas.lossRate = random.nextDouble() * 0.1
        replicas.crashRate = random.nextDouble() * 0.003
        replicas.lateRate = random.nextDouble() * 0.2
    }

    private fun isolate(host: SimulatedReplicas.Host) {
        val bothWays = random.nextBoolean()
        for (other in replicas.hosts - host) {
            replicas.cutLink(host.name, other.name)
            if (bothWays) replicas.cutLink(other.name, host.name)
        }
    }

    private fun loseDisk(host: SimulatedReplicas.Host) {
        if (host !in lostDisks && lostDisks.size >= toleratedLosses) return
        lostDisks += host
        replicas.loseDisk(host)
    }

    private fun loseDisksAndPower() {
        if (random.nextInt(4) > 0) {
            replicas.healLinks()
            startAll()
        }
        runWithProposals()
        replicas.losePowerWithin(SYNCS_BEFORE_POWER_LOSS)
        replicas.run(random.nextInt(10, 1000).milliseconds) { propose() }
        replicas.losePower()
        val lost = replicas.hosts.shuffled(random).take(random.nextInt(toleratedLosses + 1))
        lost.forEach(::loseDisk)
    }

    private fun recoverAll() {
        replicas.healLinks()
        replicas.lossRate = 0.0
        replicas.crashRate = 0.0
        replicas.lateRate = 0.0
        startAll()
    }

    private fun startAll() = replicas.hosts.filter { it.core == null }.forEach(replicas::start)

    private companion object {
        const val SYNCS_BEFORE_POWER_LOSS = 60
    }
}
