package anvilslip.state

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Replica cores over a faulty network and faulty disks in virtual time. Checks after every step that entries once applied
 * are the same everywhere, that an acknowledged change is never lost, and that no two replicas hold the lease at once.
 */
internal class SimulatedReplicas(
    private val seed: Long,
    private val names: List<String> = listOf("a", "b", "c"),
    private val options: ReplicaOptions = ReplicaOptions(entriesBetweenSnapshots = 40, retainedEntries = 10),
    private val founders: Set<String> = names.toSet(),
) {
    class Host(
        val name: String,
        /** Speed of its clock relative to true time. */
        val drift: Double,
    ) {
        var identity = 0
        var vote = Vote()
        var snapshot: Snapshot? = null
        val entries = ArrayList<LogEntry>()
        var core: ReplicaCore? = null
        var frozenUntil = Duration.ZERO
    }

    private class Flight(
        val to: ReplicaId,
        val from: ReplicaId,
        val message: ReplicaMessage,
        val at: Duration,
    )

    val random = Random(seed)
    val hosts = names.map { Host(it, 1.0 + random.nextDouble(-DRIFT, DRIFT)) }
    private val flights = ArrayList<Flight>()
    private val cut = HashSet<Pair<String, String>>()
    private val appliedEverywhere = HashMap<Long, LogEntry>()
    private val acknowledged = HashMap<String, Long>()
    private val proposedAt = HashMap<Pair<Long, Long>, String>()
    val trace = ArrayDeque<String>()
    var now = Duration.ZERO
    var lossRate = 0.0
    var proposals = 0
        private set
    val acknowledgedCount get() = acknowledged.size

    fun start(host: Host) {
        val recovered = RecoveredData("id${host.identity}", host.snapshot, host.entries.toList(), host.vote)
        host.core =
            ReplicaCore(id(host), recovered, founders, options, Random(random.nextLong()), local(host), mayBootstrap = host.identity == 0)
    }

    fun id(host: Host) = ReplicaId(host.name, "id${host.identity}")

    fun crash(host: Host) {
        note("crash ${host.name}")
        host.core = null
    }

    fun loseDisk(host: Host) {
        note("lose the disk of ${host.name}")
        host.core = null
        host.identity++
        host.vote = Vote()
        host.snapshot = null
        host.entries.clear()
    }

    fun freeze(
        host: Host,
        time: Duration,
    ) {
        note("freeze ${host.name} for $time")
        host.frozenUntil = now + time
    }

    fun cut(
        from: String,
        to: String,
    ) {
        note("cut $from to $to")
        cut += from to to
    }

    fun heal() {
        if (cut.isNotEmpty()) note("heal all cuts")
        cut.clear()
    }

    fun local(host: Host): Duration = now * host.drift

    val leaseHolders get() = hosts.filter { it.core?.holdsLease(local(it)) == true }

    /** True when every replica of the current membership is up and holds all that is committed. */
    val repaired: Boolean
        get() {
            val leader = leaseHolders.firstOrNull()?.core ?: return false
            if (options.voterTarget != null) return hasAllVoters(leader, options.voterTarget!!)
            return hosts.all { host ->
                val core = host.core
                core != null && id(host) in leader.currentVoters && leader.currentVoters.size == names.size &&
                    core.commitIndex >= leader.commitIndex - 1
            }
        }

    private fun hasAllVoters(
        leader: ReplicaCore,
        target: Int,
    ): Boolean {
        val up = hosts.filter { it.core != null && id(it) in leader.currentVoters && it.core!!.commitIndex >= leader.commitIndex - 1 }
        return up.size == leader.currentVoters.size && up.size >= target
    }

    fun propose(host: Host): Boolean {
        val core = host.core ?: return false
        if (core.role != ReplicaRole.LEADER || now < host.frozenUntil) return false
        val requestId = "r${proposals++}"
        val change = Change.PutWorkspace(Workspace("w${random.nextInt(5)}", 1.0 + random.nextInt(100), 10))
        val command = Command.Configure(change, requestId)
        proposedAt[core.term to core.lastIndex + 1] = requestId
        carryOut(host, core.propose(listOf(Payload.Apply(command, now.inWholeMilliseconds)), local(host)))
        return true
    }

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
                if (now >= host.frozenUntil) carryOut(host, core.tick(local(host)))
            }
            step()
            check(leaseHolders.size <= 1) { fail("two lease holders: ${leaseHolders.map { it.name }}") }
        }
    }

    private fun deliver() {
        val due = flights.filter { it.at <= now }.sortedBy { it.at }
        flights.removeAll(due.toSet())
        for (flight in due) {
            val host = hosts.first { it.name == flight.to.instance }
            val core = host.core ?: continue
            if (now < host.frozenUntil) {
                flights += Flight(flight.to, flight.from, flight.message, host.frozenUntil + TICK)
                continue
            }
            if (flight.to.storage.isNotEmpty() && flight.to != id(host)) continue
            carryOut(host, core.receive(flight.from, flight.message, local(host)))
        }
    }

    private fun carryOut(
        host: Host,
        output: ReplicaOutput,
    ) {
        if (output.needsSync && random.nextDouble() < crashRate) return crash(host)
        store(host, output)
        if (output.needsSync && random.nextDouble() < crashRate) return crash(host)
        for (outgoing in output.messages) send(host, outgoing)
        for (applied in output.applied) checkApplied(host, applied)
        val snapshot = host.core?.snapshotIfDue() ?: return
        host.snapshot = snapshot
        host.entries.clear()
        host.entries += host.core!!.entriesAfter(snapshot.index)
    }

    /** Chance that a replica crashes right before or after a sync. */
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
        output.vote?.let { host.vote = it }
    }

    private fun send(
        host: Host,
        outgoing: ReplicaOutput.Outgoing,
    ) {
        if ((host.name to outgoing.to.instance) in cut || random.nextDouble() < lossRate) return
        val copies = if (random.nextDouble() < DUPLICATES) 2 else 1
        repeat(copies) {
            val delay = random.nextInt(1, MAX_DELAY_MILLIS).milliseconds
            flights += Flight(outgoing.to, id(host), outgoing.message, now + delay)
        }
    }

    private fun checkApplied(
        host: Host,
        applied: ReplicaOutput.Applied,
    ) {
        val entry = host.entries.firstOrNull { it.index == applied.index } ?: return
        val before = appliedEverywhere.putIfAbsent(applied.index, entry)
        check(before == null || before == entry) { fail("entry ${applied.index} was $before and is $entry on ${host.name}") }
        if (applied.outcome is Outcome.Configured) {
            proposedAt[applied.term to applied.index]?.let {
                acknowledged.putIfAbsent(
                    it,
                    applied.index,
                )
            }
        }
    }

    /** Every acknowledged change must be in the state of [host]. */
    fun checkAcknowledged(host: Host) {
        val state = host.core!!.state
        val missing = acknowledged.keys.filter { it !in state.outcomes }
        check(missing.isEmpty()) { fail("acknowledged changes are lost on ${host.name}: $missing") }
    }

    private fun note(text: String) {
        trace.addLast("$now $text")
        if (trace.size > TRACE_LENGTH) trace.removeFirst()
    }

    fun fail(what: String) = "seed $seed at $now: $what\n" + (trace + hosts.map(::describe)).joinToString("\n")

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
        const val TRACE_LENGTH = 60
    }
}
