package anvilslip.state

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * All replicas lose power at once, right after an acknowledged change, and start again on machines that are short of processor time.
 * Processes start at different times, connections come about later, and each message takes time to handle.
 */
internal class SlowStartRun(
    private val seed: Long,
) {
    private val random = Random(seed)
    private val voters = if (random.nextBoolean()) 3 else 5
    private val names = ('a'..'z').take(voters).map { it.toString() }
    private val replicas = SimulatedReplicas(seed, names, ReplicaOptions(voterTarget = voters))

    /** Duration of each stage, from the return of the power. */
    class Stages(
        val opened: Duration,
        val elected: Duration,
        val current: Duration,
    ) {
        override fun toString() = "all open $opened, leader $elected, current at all $current"
    }

    fun run(): Stages {
        replicas.hosts.forEach(replicas::start)
        awaitAll { replicas.fullyReplicated }
        val leader = replicas.leaseHolders.single()
        repeat(CHANGES) { replicas.propose(leader) }
        awaitAll { replicas.acknowledgedCount == CHANGES }
        replicas.losePower()
        replicas.run(DARK)
        return recover()
    }

    private fun recover(): Stages {
        val back = replicas.now
        val startAt = replicas.hosts.associateWith { back + between(MIN_START, MAX_START) }
        replicas.lossRate = random.nextDouble(MAX_LOSS)
        for ((from, to) in replicas.hosts.flatMap { a -> replicas.hosts.map { b -> a to b } }) {
            val bothUp = maxOf(startAt.getValue(from), startAt.getValue(to))
            replicas.connectedFrom[from.name to to.name] = bothUp + between(Duration.ZERO, MAX_CONNECT)
        }
        replicas.handlingTime = between(Duration.ZERO, MAX_HANDLING)
        var opened: Duration? = null
        var elected: Duration? = null
        while (true) {
            for ((host, at) in startAt) {
                if (host.core == null && replicas.now >= at) replicas.start(host, processStartedAt = back + (at - back) / 2)
            }
            replicas.run(STEP)
            if (opened == null && replicas.hosts.all { it.core != null }) opened = replicas.now - back
            if (elected == null && replicas.leaseHolders.isNotEmpty()) elected = replicas.now - back
            if (opened != null && elected != null && replicas.hosts.all { it.core!!.isCurrent }) {
                replicas.hosts.forEach(replicas::checkAcknowledged)
                return Stages(opened, elected, replicas.now - back)
            }
            check(replicas.now - back < GIVE_UP) { replicas.failureMessage("not current $GIVE_UP after the power came back") }
        }
    }

    private fun awaitAll(condition: () -> Boolean) {
        val end = replicas.now + GIVE_UP
        while (!condition()) {
            replicas.run(STEP)
            check(replicas.now < end) { replicas.failureMessage("not ready within $GIVE_UP") }
        }
    }

    private fun between(
        from: Duration,
        until: Duration,
    ): Duration = from + (until - from) * random.nextDouble()

    private companion object {
        const val CHANGES = 20
        val STEP = 10.milliseconds
        val DARK = 2.seconds
        val GIVE_UP = 20.seconds

        /** What the start of a process takes until its replica is open, on the processor share of a control instance. */
        val MIN_START = 750.milliseconds
        val MAX_START = 1200.milliseconds

        /** An attempt that is refused is repeated after this time. */
        val MAX_CONNECT = 200.milliseconds

        const val MAX_LOSS = 0.05

        /** Processor time of a message to a replica whose code has just been loaded. */
        val MAX_HANDLING = 10.milliseconds
    }
}
