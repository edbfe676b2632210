package anvilslip.state

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a leader knows of the replicas that follow it: how far they are, which of its rounds they confirmed, and who wants to vote. */
internal class Followers(
    private val self: ReplicaId,
    private val options: ReplicaOptions,
) {
    /** How far one replica is. */
    class Progress(
        /** Index of the entry to send next. */
        var next: Long,
        var lastReply: Duration,
    ) {
        /** Index up to which its log is known to be the leader's. */
        var match: Long = 0

        /** Last round that it confirmed. */
        var round: Long = 0

        /** When a snapshot was sent that it has not acknowledged. */
        var installedAt: Duration? = null
    }

    private val progress = mutableMapOf<ReplicaId, Progress>()
    private val joining = mutableMapOf<ReplicaId, Duration>()
    private val rounds = ArrayDeque<Pair<Long, Duration>>()
    private var round = 0L

    /** When the last round was sent that a majority confirmed. */
    var confirmedAt: Duration? = null
        private set

    val all: Map<ReplicaId, Progress> get() = progress

    /** Replicas that have acknowledged entries. */
    val acknowledgedBy: Set<ReplicaId> get() = progress.filterValues { it.match > 0 }.keys.toSet()

    operator fun get(replica: ReplicaId): Progress? = progress[replica]

    fun clear() {
        progress.clear()
        joining.clear()
        rounds.clear()
        confirmedAt = null
    }

    /** Follows the progress of [replicas] too; those that are new are sent entries from [next] on. */
    fun add(
        replicas: Collection<ReplicaId>,
        next: Long,
        now: Duration,
    ) {
        for (replica in replicas) progress.getOrPut(replica) { Progress(next, now) }
    }

    /** [replica] asks to take part. */
    fun join(
        replica: ReplicaId,
        next: Long,
        now: Duration,
    ): Progress {
        joining[replica] = now
        return progress.getOrPut(replica) { Progress(next, now) }
    }

    /** Replicas that answered within an election timeout, and the leader. */
    fun heard(now: Duration): Set<ReplicaId> = progress.filter { now - it.value.lastReply < options.electionTimeout }.keys + self

    /** A round of messages goes out; returns its number. */
    fun beginRound(now: Duration): Long {
        round++
        rounds.addLast(round to now)
        while (rounds.size > MAX_ROUNDS) rounds.removeFirst()
        return round
    }

    /** Number of the round that went out last. */
    val lastRound: Long get() = round

    /** Takes note of the last round for which those that confirmed it are a quorum. */
    fun confirmRounds(isQuorum: (Collection<ReplicaId>) -> Boolean) {
        val confirmed = rounds.lastOrNull { (number, _) -> isQuorum(progress.filter { it.value.round >= number }.keys + self) } ?: return
        confirmedAt = confirmed.second
        while (rounds.first().first < confirmed.first) rounds.removeFirst()
    }

    /** Index that a majority of [voters] holds, where the leader's log ends at [lastIndex]. */
    fun majorityIndex(
        voters: Set<ReplicaId>,
        lastIndex: Long,
    ): Long {
        val matches = voters.map { if (it == self) lastIndex else progress[it]?.match ?: 0 }.sorted()
        return matches[(matches.size - 1) / 2]
    }

    /** Stops following replicas that neither vote nor want to. */
    fun keepOnly(voters: Set<ReplicaId>) {
        progress.keys.removeAll { it !in voters && it !in joining }
    }

    /** The voters to agree on next, one more or one less than [voters]; null when they may stay. Only replicas up to [commit] may join. */
    fun nextVoters(
        voters: Set<ReplicaId>,
        commit: Long,
        now: Duration,
    ): Set<ReplicaId>? {
        joining.entries.removeAll { now - it.value > JOIN_TIMEOUT }
        val ready = joining.keys.filter { (progress[it]?.match ?: 0) >= commit }
        return change(voters, ready, now)?.also { joining.keys.removeAll(it) }
    }

    private fun change(
        voters: Set<ReplicaId>,
        ready: List<ReplicaId>,
        now: Duration,
    ): Set<ReplicaId>? {
        val target = options.voterTarget
        val returned = ready.firstOrNull { candidate -> voters.any { it.instance == candidate.instance } }
        if (returned != null) return voters.filter { it.instance != returned.instance || it == self }.toSet()
        if (target == null) return ready.firstOrNull()?.let { voters + it }
        val lost = voters.firstOrNull { it != self && isLost(it, now) }
        return when {
            voters.size > target -> lost?.let { voters - it }
            voters.size < target || lost != null -> ready.firstOrNull()?.let { voters + it }
            else -> null
        }
    }

    private fun isLost(
        replica: ReplicaId,
        now: Duration,
    ): Boolean = progress[replica]?.let { now - it.lastReply > options.voterReplacementTimeout } ?: false

    private companion object {
        const val MAX_ROUNDS = 64
        val JOIN_TIMEOUT = 5_000.milliseconds
    }
}
