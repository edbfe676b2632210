package anvilslip.state

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One replica of the replicated log, after Raft: terms, pre-votes, a leader lease, membership changes of one replica at a
 * time and snapshots. Deterministic: it owns no thread, socket, file or clock. Each call returns the effects to carry out.
 *
 * @param members names of the instances that may hold a replica, or with [ReplicaOptions.voterTarget] those that found the log
 * @param now monotonic time at start; a replica gives no vote until an election timeout after it
 * @param mayBootstrap false when a log exists already, so that this replica may only join it
 */
public class ReplicaCore(
    public val id: ReplicaId,
    recovered: RecoveredData,
    private val members: Set<String>,
    private val options: ReplicaOptions = ReplicaOptions(),
    private val random: Random,
    now: Duration,
    private val mayBootstrap: Boolean = true,
) {
    private val log = ReplicaLog(recovered)
    private var vote = recovered.vote
    private var commit = recovered.snapshot?.index ?: 0
    private var lastApplied = commit

    /** State after all applied entries. */
    public var state: ReplicatedState = recovered.snapshot?.state ?: ReplicatedState()
        private set

    /** Role in the current term. */
    public var role: ReplicaRole = ReplicaRole.FOLLOWER
        private set

    /** Leader of the current term, when known. */
    public var leader: ReplicaId? = null
        private set

    private var voters: Set<ReplicaId> = log.latestVoters()
    private var lastLeaderContact = now
    private var electionDeadline = now + firstTimeout()
    private var preVoting = false
    private val votes = mutableSetOf<ReplicaId>()
    private val followers = Followers(id, options)
    private val bootstrap = Bootstrap(id, members)
    private var nextHeartbeat = now

    private var output = ReplicaOutput()

    /** Current term. */
    public val term: Long get() = vote.term

    /** Index of the last entry known to be committed. */
    public val commitIndex: Long get() = commit

    /** Index of the last entry in the log. */
    public val lastIndex: Long get() = log.lastIndex

    /** Replicas that vote. */
    public val currentVoters: Set<ReplicaId> get() = voters

    /** True until this replica knows who votes. */
    public val isUninitialized: Boolean get() = voters.isEmpty()

    /** Monotonic time until which no other replica can be elected, so the leader may decide alone; null when not leading. */
    public val leaseUntil: Duration?
        get() {
            val committedOwnTerm = log.termAt(commit) == term
            return followers.confirmedAt?.takeIf { role == ReplicaRole.LEADER && committedOwnTerm }?.plus(options.leaderLease)
        }

    /** Replicas that have acknowledged this leader in its term; empty when it does not lead. */
    public val acknowledgedBy: Set<ReplicaId> get() = if (role == ReplicaRole.LEADER) followers.acknowledgedBy else emptySet()

    /** True while [leaseUntil] lies ahead. */
    public fun holdsLease(now: Duration): Boolean = leaseUntil?.let { now < it } ?: false

    /** Lets time pass: elections, heartbeats, stepping down. */
    public fun tick(now: Duration): ReplicaOutput =
        step {
            when {
                role == ReplicaRole.LEADER -> tickLeader(now)
                id !in voters -> tickOutsider(now)
                now >= electionDeadline -> startPreVote(now)
            }
        }

    /** Takes in a message from another replica. */
    public fun receive(
        from: ReplicaId,
        message: ReplicaMessage,
        now: Duration,
    ): ReplicaOutput =
        step {
            when (message) {
                is ReplicaMessage.VoteRequest -> onVoteRequest(from, message, now)
                is ReplicaMessage.VoteReply -> onVoteReply(from, message, now)
                is ReplicaMessage.Append -> onAppend(from, message, now)
                is ReplicaMessage.AppendReply -> onAppendReply(from, message, now)
                is ReplicaMessage.InstallSnapshot -> onInstall(from, message, now)
                is ReplicaMessage.Join -> onJoin(from, now)
                is ReplicaMessage.BootstrapQuery -> onBootstrapQuery(from)
                is ReplicaMessage.BootstrapQueryReply -> onBootstrapQueryReply(from, message)
                is ReplicaMessage.StartLog -> if (isUninitialized && id in message.initialVoters) startLog(message.initialVoters)
            }
        }

    /** Appends [payloads] if this replica leads; the entries take effect when a later output applies them. */
    public fun propose(
        payloads: List<Payload>,
        now: Duration,
    ): ReplicaOutput =
        step {
            if (role == ReplicaRole.LEADER) appendAsLeader(payloads, now)
        }

    /** Takes a snapshot of the applied state when enough entries have passed since the last one; null when not due. */
    public fun snapshotIfDue(): Snapshot? {
        val covered = log.snapshot?.index ?: 0
        if (lastApplied - covered < options.entriesBetweenSnapshots) return null
        val taken = Snapshot(lastApplied, log.termAt(lastApplied)!!, votersAt(lastApplied), state)
        log.compact(taken, options.retainedEntries)
        return taken
    }

    /** Entries in memory after [index], for storage to write behind a snapshot. */
    public fun entriesAfter(index: Long): List<LogEntry> = log.from(maxOf(index + 1, log.firstIndex), Int.MAX_VALUE)

    private inline fun step(action: () -> Unit): ReplicaOutput {
        output = ReplicaOutput()
        action()
        return output
    }

    private fun timeout(): Duration =
        options.electionTimeout + random.nextInt(options.electionTimeout.inWholeMilliseconds.toInt()).milliseconds

    /** After a start nobody may vote sooner, since a leader from before may hold a lease; all have waited for as long. */
    private fun firstTimeout(): Duration = options.electionTimeout + (timeout() - options.electionTimeout) / 2

    private fun send(
        to: ReplicaId,
        message: ReplicaMessage,
    ) {
        output = output.copy(messages = output.messages + ReplicaOutput.Outgoing(to, message))
    }

    private fun setVote(next: Vote) {
        if (next == vote) return
        check(next.term >= vote.term) { "the term goes back" }
        vote = next
        output = output.copy(vote = next)
    }

    private fun appendToLog(entries: List<LogEntry>) {
        log.append(entries)
        output = output.copy(append = output.append + entries)
        if (entries.any { it.payload is Payload.Membership }) voters = log.latestVoters()
    }

    private fun truncateLog(from: Long) {
        check(from > commit) { "a committed entry would be dropped" }
        log.truncateFrom(from)
        check(output.append.isEmpty()) { "truncation after an append in one step" }
        output = output.copy(truncateFrom = from)
        voters = log.latestVoters()
    }

    private fun votersAt(index: Long): Set<ReplicaId> {
        val later = log.from(log.firstIndex, Int.MAX_VALUE).filter { it.index <= index }
        val entry = later.lastOrNull { it.payload is Payload.Membership }
        return (entry?.payload as Payload.Membership?)?.voters ?: log.snapshot?.voters.orEmpty()
    }

    private fun isQuorum(replicas: Collection<ReplicaId>): Boolean = replicas.count { it in voters } * 2 > voters.size

    private fun startPreVote(now: Duration) {
        electionDeadline = now + timeout()
        role = ReplicaRole.FOLLOWER
        leader = null
        preVoting = true
        votes.clear()
        votes += id
        if (isQuorum(votes)) startElection(now) else requestVotes(term + 1, preVote = true)
    }

    private fun startElection(now: Duration) {
        preVoting = false
        role = ReplicaRole.CANDIDATE
        leader = null
        setVote(Vote(term + 1, id))
        votes.clear()
        votes += id
        electionDeadline = now + timeout()
        if (isQuorum(votes)) becomeLeader(now) else requestVotes(term, preVote = false)
    }

    /** Looks for a log to join; a new one is founded only when every member is there and none has state. */
    private fun tickOutsider(now: Duration) {
        if (now < nextHeartbeat) return
        nextHeartbeat = now + options.joinInterval
        for (member in members + voters.map { it.instance } - id.instance) {
            val unknown = ReplicaId(member, "")
            if (isUninitialized && mayBootstrap) send(unknown, ReplicaMessage.BootstrapQuery())
            send(unknown, ReplicaMessage.Join())
        }
        if (isUninitialized && mayBootstrap && bootstrap.isAlone) startLog(setOf(id))
    }

    /** A founder that is blank under its first identity has stored nothing, so it missed the founding and may be told again. */
    private fun onBootstrapQuery(from: ReplicaId) {
        send(from, ReplicaMessage.BootstrapQueryReply(isUninitialized))
        if (!isUninitialized && log.firstIndex == 1L && log.lastIndex >= 1L) {
            val initialVoters = (log.entry(1).payload as? Payload.Membership)?.voters.orEmpty()
            if (from in initialVoters) send(from, ReplicaMessage.StartLog(initialVoters))
        }
    }

    private fun onBootstrapQueryReply(
        from: ReplicaId,
        reply: ReplicaMessage.BootstrapQueryReply,
    ) {
        if (!isUninitialized || !mayBootstrap) return
        val all = bootstrap.take(from, reply.uninitialized) ?: return
        startLog(all)
        for (founder in all - id) send(founder, ReplicaMessage.StartLog(all))
    }

    private fun startLog(initialVoters: Set<ReplicaId>) {
        setVote(Vote(term = 1))
        appendToLog(listOf(LogEntry(1, 1, Payload.Membership(initialVoters))))
    }

    private fun requestVotes(
        atTerm: Long,
        preVote: Boolean,
    ) {
        for (voter in voters - id) send(voter, ReplicaMessage.VoteRequest(atTerm, log.lastIndex, log.lastTerm, preVote))
    }

    private fun onVoteRequest(
        from: ReplicaId,
        request: ReplicaMessage.VoteRequest,
        now: Duration,
    ) {
        if (role == ReplicaRole.LEADER && from !in voters) onJoin(from, now)
        val leaderIsFresh = now - lastLeaderContact < options.electionTimeout || holdsLease(now)
        val upToDate = LogPosition(request.lastTerm, request.lastIndex) >= LogPosition(log.lastTerm, log.lastIndex)
        val mayVote = !isUninitialized && !leaderIsFresh && upToDate && request.term >= term
        if (request.preVote) {
            send(from, ReplicaMessage.VoteReply(term, mayVote && request.term > term, preVote = true))
            return
        }
        if (!leaderIsFresh && request.term > term) stepDown(request.term, null)
        val free = vote.candidate == null || vote.candidate == from
        val granted = mayVote && request.term == term && role == ReplicaRole.FOLLOWER && free
        if (granted) {
            setVote(Vote(term, from))
            electionDeadline = now + timeout()
        }
        send(from, ReplicaMessage.VoteReply(term, granted, preVote = false))
    }

    private fun onVoteReply(
        from: ReplicaId,
        reply: ReplicaMessage.VoteReply,
        now: Duration,
    ) {
        if (reply.term > term) {
            stepDown(reply.term, null)
            return
        }
        if (!reply.granted || from !in voters) return
        if (reply.preVote && preVoting) {
            votes += from
            if (isQuorum(votes)) startElection(now)
        } else if (!reply.preVote && role == ReplicaRole.CANDIDATE && reply.term == term) {
            votes += from
            if (isQuorum(votes)) becomeLeader(now)
        }
    }

    private fun becomeLeader(now: Duration) {
        role = ReplicaRole.LEADER
        leader = id
        preVoting = false
        followers.clear()
        followers.add(voters - id, log.lastIndex + 1, now)
        appendAsLeader(listOf(Payload.Noop), now)
    }

    private fun stepDown(
        newTerm: Long,
        newLeader: ReplicaId?,
    ) {
        if (newTerm > term) setVote(Vote(newTerm))
        role = ReplicaRole.FOLLOWER
        leader = newLeader
        preVoting = false
        followers.clear()
    }

    private fun appendAsLeader(
        payloads: List<Payload>,
        now: Duration,
    ) {
        var index = log.lastIndex
        appendToLog(payloads.map { LogEntry(++index, term, it) })
        followers.add(voters - id, log.lastIndex + 1, now)
        broadcast(now)
        advanceCommit(now)
    }

    private fun tickLeader(now: Duration) {
        if (!isQuorum(followers.heard(now))) {
            stepDown(term, null)
            electionDeadline = now + timeout()
            return
        }
        if (now >= nextHeartbeat) broadcast(now)
        promoteJoined(now)
    }

    private fun broadcast(now: Duration) {
        nextHeartbeat = now + options.heartbeat
        followers.beginRound(now)
        for ((replica, state) in followers.all) sendEntries(replica, state, now)
        followers.confirmRounds(::isQuorum)
    }

    private fun sendEntries(
        to: ReplicaId,
        state: Followers.Progress,
        now: Duration,
    ) {
        val previous = state.next - 1
        val previousTerm = log.termAt(previous)
        if (previousTerm == null || previous < log.firstIndex - 1) {
            val snapshot = checkNotNull(log.snapshot) { "entries dropped without a snapshot" }
            sendSnapshot(to, state, snapshot, now)
            return
        }
        val entries = log.from(state.next, options.maxEntriesPerAppend)
        send(to, ReplicaMessage.Append(term, previous, previousTerm, entries, commit, followers.lastRound))
        state.next += entries.size
    }

    private fun sendSnapshot(
        to: ReplicaId,
        state: Followers.Progress,
        snapshot: Snapshot,
        now: Duration,
    ) {
        val sent = state.installedAt
        if (sent != null && now < sent + options.snapshotResendTimeout) return
        state.installedAt = now
        send(to, ReplicaMessage.InstallSnapshot(term, snapshot, followers.lastRound))
    }

    private fun onAppend(
        from: ReplicaId,
        append: ReplicaMessage.Append,
        now: Duration,
    ) {
        if (!followLeader(from, append.term, now)) {
            send(from, ReplicaMessage.AppendReply(term, false, 0, append.round))
            return
        }
        val known = log.termAt(append.previousIndex)
        val covered = append.previousIndex < commit
        if (!covered && known != append.previousTerm) {
            val retry = minOf(append.previousIndex - 1, log.lastIndex)
            send(from, ReplicaMessage.AppendReply(term, false, maxOf(retry, commit), append.round))
            return
        }
        takeEntries(append.entries)
        val match = append.previousIndex + append.entries.size
        commitUpTo(minOf(append.commit, match))
        send(from, ReplicaMessage.AppendReply(term, true, match, append.round))
    }

    private fun takeEntries(entries: List<LogEntry>) {
        val conflict = entries.firstOrNull { it.index > commit && it.index <= log.lastIndex && log.termAt(it.index) != it.term }
        if (conflict != null) truncateLog(conflict.index)
        appendToLog(entries.filter { it.index > log.lastIndex })
    }

    private fun followLeader(
        from: ReplicaId,
        leaderTerm: Long,
        now: Duration,
    ): Boolean {
        if (leaderTerm < term) return false
        if (leaderTerm > term || role != ReplicaRole.FOLLOWER || leader != from) {
            check(leaderTerm > term || role != ReplicaRole.LEADER) { "two leaders in term $term" }
            stepDown(leaderTerm, from)
        }
        lastLeaderContact = now
        electionDeadline = now + timeout()
        preVoting = false
        return true
    }

    private fun onInstall(
        from: ReplicaId,
        install: ReplicaMessage.InstallSnapshot,
        now: Duration,
    ) {
        if (!followLeader(from, install.term, now)) {
            send(from, ReplicaMessage.AppendReply(term, false, 0, install.round))
            return
        }
        val snapshot = install.snapshot
        if (snapshot.index > commit) {
            log.install(snapshot)
            commit = snapshot.index
            lastApplied = snapshot.index
            state = snapshot.state
            voters = log.latestVoters()
            output = output.copy(install = snapshot)
        }
        send(from, ReplicaMessage.AppendReply(term, true, snapshot.index, install.round))
    }

    private fun onAppendReply(
        from: ReplicaId,
        reply: ReplicaMessage.AppendReply,
        now: Duration,
    ) {
        if (reply.term > term) {
            stepDown(reply.term, null)
            return
        }
        val state = followers[from]
        if (role != ReplicaRole.LEADER || reply.term != term || state == null) return
        state.lastReply = now
        state.round = maxOf(state.round, reply.round)
        if (reply.accepted) onMatch(from, state, reply.matchIndex, now) else state.next = reply.matchIndex + 1
        if (!reply.accepted) sendEntries(from, state, now)
        followers.confirmRounds(::isQuorum)
    }

    private fun onMatch(
        from: ReplicaId,
        state: Followers.Progress,
        match: Long,
        now: Duration,
    ) {
        state.installedAt = null
        state.match = maxOf(state.match, match)
        state.next = maxOf(state.next, state.match + 1)
        advanceCommit(now)
        if (followers[from] === state && state.next <= log.lastIndex) sendEntries(from, state, now)
    }

    private fun advanceCommit(now: Duration) {
        val majority = followers.majorityIndex(voters, log.lastIndex)
        if (majority > commit && log.termAt(majority) == term) {
            commitUpTo(majority)
            if (id !in voters) stepDown(term, null) else forgetRemoved()
            if (role == ReplicaRole.LEADER) promoteJoined(now)
        }
    }

    private fun forgetRemoved() {
        if (log.latestMembershipIndex() > commit) return
        followers.keepOnly(voters)
    }

    private fun commitUpTo(index: Long) {
        commit = maxOf(commit, index)
        val applied = mutableListOf<ReplicaOutput.Applied>()
        while (lastApplied < commit) {
            val entry = log.entry(++lastApplied)
            applied += ReplicaOutput.Applied(entry.index, entry.term, apply(entry.payload))
        }
        if (applied.isNotEmpty()) output = output.copy(applied = output.applied + applied)
    }

    private fun apply(payload: Payload): Outcome? =
        when (payload) {
            is Payload.Apply -> state.apply(payload.command, payload.atMillis).also { state = it.state }.outcome
            is Payload.Membership, Payload.Noop -> null
        }

    private fun onJoin(
        from: ReplicaId,
        now: Duration,
    ) {
        if (role != ReplicaRole.LEADER || from in voters) return
        if (options.voterTarget == null && from.instance !in members) return
        sendEntries(from, followers.join(from, log.lastIndex + 1, now), now)
    }

    /** Takes in a replica that holds everything committed or drops a lost one, one change at a time. */
    private fun promoteJoined(now: Duration) {
        if (role != ReplicaRole.LEADER || log.latestMembershipIndex() > commit || log.termAt(commit) != term) return
        val next = followers.nextVoters(voters, commit, now) ?: return
        appendAsLeader(listOf(Payload.Membership(next)), now)
    }
}
