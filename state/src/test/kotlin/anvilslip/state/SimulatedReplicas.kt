package anvilslip.state

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs [ReplicaCore]s in virtual time with a simulated network, simulated disks and injected faults.
 *
 * Checks while it runs that all replicas apply the same entries and that at most one of them holds the leader lease.
 * [checkAcknowledged] checks that no acknowledged change was lost.
 */
internal class SimulatedReplicas(
    private val seed: Long,
    private val names: List<String> = listOf("a", "b", "c"),
    private val options: ReplicaOptions = ReplicaOptions(entriesBetweenSnapshots = 40, retainedEntries = 10),
    private val members: Set<String> = names.toSet(),
) {
    class Host(
        val name: String,
        /** Speed of the host's clock relative to simulated time. */
        val drift: Double,
    ) {
        var identity = 0
        var vote = Vote()
        var snapshot: Snapshot? = null
        val entries = ArrayList<LogEntry>()
        var core: ReplicaCore? = null
        var pausedUntil = Duration.ZERO

        /** When the host lost power or its process ended, if it did. */
        var downSince: Duration? = null

        /** End of the handling of the messages that have arrived. */
        var busyUntil = Duration.ZERO
    }

    private class MessageInFlight(
        val to: ReplicaId,
        val from: ReplicaId,
        val message: ReplicaMessage,
        val at: Duration,
    )

    val random = Random(seed)
    val hosts = names.map { Host(it, 1.0 + random.nextDouble(-DRIFT, DRIFT)) }
    private val messagesInFlight = ArrayList<MessageInFlight>()
    private val cutLinks = HashSet<Pair<String, String>>()
    private val appliedEntries = HashMap<Long, LogEntry>()
    private val acknowledged = HashMap<String, Long>()
    private val proposedAt = HashMap<Pair<Long, Long>, String>()
    val trace = ArrayDeque<String>()
    var now = Duration.ZERO
    var lossRate = 0.0

    /** Probability that a message arrives up to [MAX_LATE_MILLIS] late, after ones that were sent later. */
    var lateRate = 0.0

    /** Time that a host needs for each message that it handles. */
    var handlingTime = Duration.ZERO

    /** Times from which connections exist; what is sent earlier waits, as in the queue of a connection. */
    val connectedFrom = HashMap<Pair<String, String>, Duration>()

    /** True if a crash during a sync may leave a part of what was being written. */
    var tearsWrites = false
    private var syncsUntilPowerLoss: Int? = null
    var proposals = 0
        private set
    val acknowledgedCount get() = acknowledged.size

    /** Starts the replica of [host], whose process was started at [processStartedAt], by default right after the last one ended. */
    fun start(
        host: Host,
        processStartedAt: Duration = host.downSince ?: now,
    ) {
        val recovered = RecoveredData("id${host.identity}", host.snapshot, host.entries.toList(), host.vote)
        host.core =
            ReplicaCore(
                id(host),
                recovered,
                members,
                options,
                Random(random.nextLong()),
                localTime(host),
                silentSince = processStartedAt * host.drift,
                mayBootstrap = host.identity == 0,
            )
    }

    fun id(host: Host) = ReplicaId(host.name, "id${host.identity}")

    fun crash(host: Host) {
        recordEvent("crash ${host.name}")
        stop(host)
    }

    /** Takes the power from all hosts during one of the next [syncs] syncs, before what is written is synced or right after it. */
    fun losePowerWithin(syncs: Int) {
        syncsUntilPowerLoss = random.nextInt(syncs)
    }

    /** Takes the power from all hosts now. */
    fun losePower() {
        recordEvent("all hosts lose power")
        syncsUntilPowerLoss = null
        hosts.forEach(::stop)
    }

    private fun stop(host: Host) {
        if (host.core != null) host.downSince = now
        host.core = null
    }

    fun loseDisk(host: Host) {
        recordEvent("lose disk of ${host.name}")
        stop(host)
        host.identity++
        host.vote = Vote()
        host.snapshot = null
        host.entries.clear()
    }

    fun pause(
        host: Host,
        time: Duration,
    ) {
        recordEvent("pause ${host.name} for $time")
        host.pausedUntil = now + time
    }

    fun cutLink(
        from: String,
        to: String,
    ) {
        recordEvent("cut $from to $to")
        cutLinks += from to to
    }

    fun healLinks() {
        if (cutLinks.isNotEmpty()) recordEvent("heal all cuts")
        cutLinks.clear()
    }

    fun localTime(host: Host): Duration = now * host.drift

    val leaseHolders get() = hosts.filter { it.core?.holdsLease(localTime(it)) == true }

    /** True if every replica of the current membership is up and stores all committed entries. */
    val fullyReplicated: Boolean
        get() {
            val leader = leaseHolders.firstOrNull()?.core ?: return false
            if (options.voterTarget != null) return hasAllVoters(leader, options.voterTarget!!)
            return hosts.all { host ->
                val core = host.core
                core != null && id(host) in leader.currentVoters && leader.currentVoters.size == names.size &&
                    core.commitIndex >= leader.commitIndex - 1
            }
        }

    /** True if a replica leads and the latest change of the voters is committed. */
    val membershipCommitted: Boolean
        get() {
            val leader = leaseHolders.firstOrNull() ?: return false
            val changedAt = leader.entries.lastOrNull { it.payload is Payload.Membership }?.index ?: 0
            return changedAt <= leader.core!!.commitIndex
        }

    private fun hasAllVoters(
        leader: ReplicaCore,
        target: Int,
    ): Boolean {
        val upToDate = hosts.filter { it.core != null && id(it) in leader.currentVoters && it.core!!.commitIndex >= leader.commitIndex - 1 }
        return upToDate.size == leader.currentVoters.size && upToDate.size >= target
    }

    fun propose(host: Host): Boolean {
        val core = host.core ?: return false
        if (core.role != ReplicaRole.LEADER || now < host.pausedUntil) return false
        val requestId = "r${proposals++}"
        val change = Change.PutWorkspace(Workspace("w${random.nextInt(5)}", 1.0 + random.nextInt(100), 10))
        val command = Command.Configure(change, requestId)
        proposedAt[core.term to core.lastIndex + 1] = requestId
        propose(host, command)
        return true
    }

    /** Appends [command] to the log of the leader [host]. */
    fun propose(
        host: Host,
        command: Command,
    ) = execute(host, host.core!!.propose(listOf(Payload.Apply(command, now.inWholeMilliseconds)), localTime(host)))

    fun run(
        time: Duration,
        step: () -> Unit = {},
    ) {
        val end = now + time
        while (now < end) {
            now += TICK
            deliver()
            for (host in hosts) {
                val core = host.core ?: continue
                if (now >= host.pausedUntil) execute(host, core.tick(localTime(host)))
            }
            step()
            check(leaseHolders.size <= 1) { failureMessage("several replicas hold the lease: ${leaseHolders.map { it.name }}") }
        }
    }

    private fun deliver() {
        val due = messagesInFlight.filter { it.at <= now }.sortedBy { it.at }
        messagesInFlight.removeAll(due.toSet())
        for (inFlight in due) {
            val host = hosts.first { it.name == inFlight.to.instance }
            val core = host.core ?: continue
            if (now < host.pausedUntil) {
                messagesInFlight += MessageInFlight(inFlight.to, inFlight.from, inFlight.message, host.pausedUntil + TICK)
                continue
            }
            if (inFlight.to.storage.isNotEmpty() && inFlight.to != id(host)) continue
            if (now < host.busyUntil) {
                messagesInFlight += MessageInFlight(inFlight.to, inFlight.from, inFlight.message, host.busyUntil)
                continue
            }
            host.busyUntil = maxOf(now - TICK, host.busyUntil) + handlingTime
            execute(host, core.receive(inFlight.from, inFlight.message, localTime(host)))
        }
    }

    private fun execute(
        host: Host,
        output: ReplicaOutput,
    ) {
        for (event in output.elections) recordEvent("${host.name}: $event")
        if (output.needsSync && losesPowerNow()) return losePowerWhileStoring(host, output)
        if (output.needsSync && random.nextDouble() < crashRate) {
            if (tearsWrites) storePartly(host, output)
            return crash(host)
        }
        store(host, output)
        if (output.needsSync && random.nextDouble() < crashRate) return crash(host)
        for (outgoing in output.messages) send(host, outgoing)
        for (applied in output.applied) checkApplied(host, applied)
        val snapshot = host.core?.snapshotIfDue() ?: return
        host.snapshot = snapshot
        host.entries.clear()
        host.entries += host.core!!.entriesAfter(snapshot.index)
    }

    /** Probability that a replica crashes right before or right after a sync. */
    var crashRate = 0.0

    private fun store(
        host: Host,
        output: ReplicaOutput,
    ) {
        output.install?.let {
            host.snapshot = it
            host.entries.clear()
        }
        output.truncateFrom?.let { from -> host.entries.removeAll { it.index >= from } }
        host.entries += output.append
        for (entry in output.append) {
            val membership = entry.payload as? Payload.Membership ?: continue
            recordEvent("${id(host)} stores entry ${entry.index} of term ${entry.term} with voters ${membership.voters}")
        }
        output.vote?.let { host.vote = it }
    }

    /** Counts a sync; returns true if the power fails during it. */
    private fun losesPowerNow(): Boolean {
        val remaining = syncsUntilPowerLoss ?: return false
        syncsUntilPowerLoss = remaining - 1
        return remaining == 0
    }

    private fun losePowerWhileStoring(
        host: Host,
        output: ReplicaOutput,
    ) {
        if (random.nextBoolean()) store(host, output) else storePartly(host, output)
        losePower()
    }

    /** Stores what a crash during the write of [output] may leave: the snapshot without the new log, or a part of the records. */
    private fun storePartly(
        host: Host,
        output: ReplicaOutput,
    ) {
        val installed = output.install
        if (installed != null) {
            if (random.nextBoolean()) return
            host.snapshot = installed
            host.entries.removeAll { it.index <= installed.index }
            return
        }
        val written = random.nextInt(output.append.size + 2)
        val truncateFrom = output.truncateFrom?.takeIf { written > 0 }
        store(host, ReplicaOutput(truncateFrom = truncateFrom, append = output.append.take(maxOf(0, written - 1))))
    }

    private fun send(
        host: Host,
        outgoing: ReplicaOutput.Outgoing,
    ) {
        if ((host.name to outgoing.to.instance) in cutLinks || random.nextDouble() < lossRate) return
        val copies = if (random.nextDouble() < DUPLICATES) 2 else 1
        repeat(copies) {
            val isLate = lateRate > 0 && random.nextDouble() < lateRate
            val delay = random.nextInt(1, if (isLate) MAX_LATE_MILLIS else MAX_DELAY_MILLIS).milliseconds
            val sentAt = maxOf(now, connectedFrom[host.name to outgoing.to.instance] ?: now)
            messagesInFlight += MessageInFlight(outgoing.to, id(host), outgoing.message, sentAt + delay)
        }
    }

    private fun checkApplied(
        host: Host,
        applied: ReplicaOutput.Applied,
    ) {
        val entry = host.entries.firstOrNull { it.index == applied.index } ?: return
        val before = appliedEntries.putIfAbsent(applied.index, entry)
        check(before == null || before == entry) {
            failureMessage("entry ${applied.index} was applied as $before before and as $entry on ${host.name}")
        }
        if (applied.outcome is Outcome.Configured) {
            proposedAt[applied.term to applied.index]?.let {
                acknowledged.putIfAbsent(
                    it,
                    applied.index,
                )
            }
        }
    }

    /** Checks that the state of [host] includes every acknowledged change. */
    fun checkAcknowledged(host: Host) {
        val state = host.core!!.state
        val missing = acknowledged.keys.filter { it !in state.outcomes }
        check(missing.isEmpty()) { failureMessage("acknowledged changes were lost on ${host.name}: $missing") }
    }

    private fun recordEvent(text: String) {
        trace.addLast("$now $text")
        if (trace.size > TRACE_LENGTH) trace.removeFirst()
    }

    fun failureMessage(what: String) = "seed $seed at $now: $what\n" + (trace + hosts.map(::describe)).joinToString("\n")

    private fun describe(host: Host): String {
        val core = host.core ?: return "${host.name} is down"
        val log = "term ${core.term} commit ${core.commitIndex} of ${core.lastIndex}"
        return "${id(host)} ${core.role} $log voters ${core.currentVoters} leader ${core.leader}"
    }

    private companion object {
        val TICK = 10.milliseconds
        const val DRIFT = 0.004
        const val DUPLICATES = 0.02
        const val MAX_DELAY_MILLIS = 40
        const val MAX_LATE_MILLIS = 4_000
        const val TRACE_LENGTH = 60
    }
}
