package anvilslip.state

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The leader's view of the other replicas: the replication progress of each, the rounds that they confirmed, and the replicas
 * that want to become voters.
 */
internal class Followers(
    private val self: ReplicaId,
    private val options: ReplicaOptions,
) {
    /** Replication progress of one replica. */
    class Progress(
        nextIndex: Long,
        var lastReply: Duration,
    ) {
        private class Sent(
            val lastIndex: Long,
            val bytes: Long,
        )

        private val unacknowledged = ArrayDeque<Sent>()

        /** Index of the next entry to send. */
        var nextIndex: Long = nextIndex
            private set

        /** Index up to which the replica's log is known to match the leader's. */
        var matchIndex: Long = 0
            private set

        /** Size of the entries that were sent and not acknowledged yet, in bytes. */
        var unacknowledgedBytes: Long = 0
            private set

        /** Last round that the replica confirmed. */
        var confirmedRound: Long = 0

        /** Time at which a snapshot was sent that the replica has not acknowledged yet; null if there is none. */
        var snapshotSentAt: Duration? = null

        /** Records that [entries], which start at [nextIndex], were sent. */
        fun recordSent(entries: List<LogEntry>) {
            if (entries.isEmpty()) return
            nextIndex += entries.size
            val sent = Sent(nextIndex - 1, entries.sumOf { it.sizeBytes.toLong() })
            unacknowledged.addLast(sent)
            unacknowledgedBytes += sent.bytes
        }

        /** Records that the replica's log matches the leader's up to [index]. */
        fun recordMatch(index: Long) {
            matchIndex = maxOf(matchIndex, index)
            nextIndex = maxOf(nextIndex, matchIndex + 1)
            while (unacknowledged.isNotEmpty() && unacknowledged.first().lastIndex <= matchIndex) {
                unacknowledgedBytes -= unacknowledged.removeFirst().bytes
            }
        }

        /**
         * Continues with the entry after [index], because the replica lacks the entries that were sent later. A late rejection can name
         * an index before the acknowledged entries, which need not be sent again.
         */
        fun resumeAfter(index: Long) {
            nextIndex = maxOf(index, matchIndex) + 1
            unacknowledged.clear()
            unacknowledgedBytes = 0
        }
    }

    private val progress = mutableMapOf<ReplicaId, Progress>()

    /** Time of the latest join request of each replica that wants to become a voter. */
    private val joining = mutableMapOf<ReplicaId, Duration>()

    /** Number and send time of the latest rounds, oldest first. */
    private val rounds = ArrayDeque<Pair<Long, Duration>>()
    private var round = 0L

    /** Send time of the last round that a majority confirmed. */
    var confirmedRoundSentAt: Duration? = null
        private set

    val progressByReplica: Map<ReplicaId, Progress> get() = progress

    /** Replicas that have acknowledged entries in this term. */
    val acknowledgedBy: Set<ReplicaId> get() = progress.filterValues { it.matchIndex > 0 }.keys.toSet()

    operator fun get(replica: ReplicaId): Progress? = progress[replica]

    fun clear() {
        progress.clear()
        joining.clear()
        rounds.clear()
        confirmedRoundSentAt = null
    }

    /** Starts to track [replicas] that are not tracked yet, with [next] as the index of the next entry to send. */
    fun add(
        replicas: Collection<ReplicaId>,
        next: Long,
        now: Duration,
    ) {
        for (replica in replicas) progress.getOrPut(replica) { Progress(next, now) }
    }

    /** Records that [replica] asked to join, and returns its progress. */
    fun join(
        replica: ReplicaId,
        next: Long,
        now: Duration,
    ): Progress {
        joining[replica] = now
        return progress.getOrPut(replica) { Progress(next, now) }
    }

    /** Returns the leader and the replicas that replied within the last election timeout. */
    fun activeReplicas(now: Duration): Set<ReplicaId> = progress.filter { now - it.value.lastReply < options.electionTimeout }.keys + self

    /** Records that a round of messages is sent, and returns its number. */
    fun startRound(now: Duration): Long {
        round++
        rounds.addLast(round to now)
        while (rounds.size > MAX_ROUNDS) rounds.removeFirst()
        return round
    }

    /** Number of the latest round. */
    val lastRound: Long get() = round

    /** Updates [confirmedRoundSentAt] from the last round that a quorum confirmed. */
    fun confirmRounds(isQuorum: (Collection<ReplicaId>) -> Boolean) {
        val confirmed =
            rounds.lastOrNull { (number, _) -> isQuorum(progress.filter { it.value.confirmedRound >= number }.keys + self) } ?: return
        confirmedRoundSentAt = confirmed.second
        while (rounds.first().first < confirmed.first) rounds.removeFirst()
    }

    /** Returns the highest index that is stored by a majority of [voters]; the leader's own log ends at [lastIndex]. */
    fun majorityIndex(
        voters: Set<ReplicaId>,
        lastIndex: Long,
    ): Long {
        val matches = voters.map { if (it == self) lastIndex else progress[it]?.matchIndex ?: 0 }.sorted()
        return matches[(matches.size - 1) / 2]
    }

    /** Stops tracking replicas that are neither among [voters] nor joining. */
    fun removeNonMembers(voters: Set<ReplicaId>) {
        progress.keys.removeAll { it !in voters && it !in joining }
    }

    /**
     * Returns the next set of voters, which differs from [voters] by one replica, or null if no change is needed. Only replicas
     * that store all entries up to [commit] may become voters.
     */
    fun nextVoters(
        voters: Set<ReplicaId>,
        commit: Long,
        now: Duration,
    ): Set<ReplicaId>? {
        joining.entries.removeAll { now - it.value > JOIN_TIMEOUT }
        val caughtUp = joining.keys.filter { (progress[it]?.matchIndex ?: 0) >= commit }
        return chooseVoters(voters, caughtUp, now)?.also { joining.keys.removeAll(it) }
    }

    private fun chooseVoters(
        voters: Set<ReplicaId>,
        caughtUp: List<ReplicaId>,
        now: Duration,
    ): Set<ReplicaId>? {
        val target = options.voterTarget
        val (rejoining, new) = caughtUp.partition { joiner -> voters.any { it.instance == joiner.instance } }
        // A replica whose earlier identity was removed takes its place before the next one is removed, so that one voter is missing at most.
        val next = new.firstOrNull()
        if (next != null && target != null && voters.size < target) return voters + next
        val rejoined = rejoining.firstOrNull()
        if (rejoined != null) return voters.filter { it.instance != rejoined.instance || it == self }.toSet()
        if (target == null) return next?.let { voters + it }
        val unresponsive = voters.firstOrNull { it != self && isUnresponsive(it, now) }
        return when {
            voters.size > target -> unresponsive?.let { voters - it }
            voters.size < target || unresponsive != null -> next?.let { voters + it }
            else -> null
        }
    }

    private fun isUnresponsive(
        replica: ReplicaId,
        now: Duration,
    ): Boolean = progress[replica]?.let { now - it.lastReply > options.voterReplacementTimeout } ?: false

    private companion object {
        const val MAX_ROUNDS = 64
        val JOIN_TIMEOUT = 5_000.milliseconds
    }
}
