package anvilslip.state

import kotlin.random.Random
import kotlin.time.Duration

/**
 * State machine of one replica of the replicated log. It implements Raft with pre-votes, a leader lease, single-replica
 * membership changes and snapshots.
 *
 * Deterministic: it uses no threads, network, files or clocks. Each call returns the effects that the caller must execute.
 *
 * @param members names of the instances that may run a replica; with [ReplicaOptions.voterTarget], those that start the log
 * @param now monotonic time at start
 * @param silentSince monotonic time since which the replica has acknowledged nothing, for example that of the start of its process; it
 *   grants no vote until an election timeout has passed since then
 * @param mayBootstrap false if a log exists already, so that this replica may only join it
 */
public class ReplicaCore(
    public val id: ReplicaId,
    recovered: RecoveredData,
    private val members: Set<String>,
    private val options: ReplicaOptions = ReplicaOptions(),
    random: Random,
    now: Duration,
    silentSince: Duration = now,
    private val mayBootstrap: Boolean = true,
) {
    private val log = ReplicaLog(recovered)
    private var vote = recovered.vote
    private val applied = AppliedState(recovered.snapshot)

    /** Replicated state after all applied entries. */
    public val state: ReplicatedState get() = applied.state

    /** Role in the current term. */
    public var role: ReplicaRole = ReplicaRole.FOLLOWER
        private set

    /** Leader of the current term, or null if it is not known. */
    public var leader: ReplicaId? = null
        private set

    /**
     * True once the state includes everything that was committed when this replica started: it has led with a committed entry of its own
     * term, or has applied such an entry of another leader and all that this leader said was committed. The state that a replica recovers
     * may be older, since it does not know which entries after its snapshot are committed.
     */
    public var isCurrent: Boolean = false
        private set

    private var voters: Set<ReplicaId> = log.latestVoters()

    /** A leader that this replica acknowledged until it became silent may have a lease for as long as one that it has just heard. */
    private var lastLeaderContact = silentSince
    private val electionTimer = ElectionTimer(options, random, firstElectionFrom = maxOf(now, silentSince + options.electionTimeout))
    private var preVoting = false

    /** Since when pre-votes have been collected. Older ones do not count, since those who granted them may have a leader by now. */
    private var preVotesFrom = now

    /** The last pre-vote that this replica granted, to itself or to another one. */
    private var preVoteGrant: PreVoteGrant? = null
    private val votes = mutableSetOf<ReplicaId>()
    private val followers = Followers(id, options)
    private val bootstrap = Bootstrap(id, members)

    /** Time of the next heartbeat of a leader, vote request of a candidate, or join request of a non-voter. */
    private var nextPeriodicSend = now

    private var output = ReplicaOutput()

    private data class PreVoteGrant(
        val candidate: ReplicaId,
        val at: Duration,
    )

    /** The current term. */
    public val term: Long get() = vote.term

    /** Index of the last entry known to be committed. */
    public val commitIndex: Long get() = applied.commit

    /** Index of the last entry in the log. */
    public val lastIndex: Long get() = log.lastIndex

    /** Voters according to the latest membership entry in the log, whether or not it is committed. */
    public val currentVoters: Set<ReplicaId> get() = voters

    /** True if the log holds so many bytes, most of them not committed yet, that it should not grow further. */
    public val isLogFull: Boolean get() = log.bytes >= options.maxLogBytes

    /** True until this replica knows the voters, that is, until it has a log. */
    public val isUninitialized: Boolean get() = voters.isEmpty()

    /** Monotonic time until which no other replica can be elected, so that the leader may decide alone; null if not leading. */
    public val leaseUntil: Duration?
        get() {
            val committedOwnTerm = log.termAt(commitIndex) == term
            return followers.confirmedRoundSentAt?.takeIf { role == ReplicaRole.LEADER && committedOwnTerm }?.plus(options.leaderLease)
        }

    /** Replicas that have acknowledged entries of this leader in its term; empty if this replica is not the leader. */
    public val acknowledgedBy: Set<ReplicaId> get() = if (role == ReplicaRole.LEADER) followers.acknowledgedBy else emptySet()

    /** Returns true if this replica is the leader and its lease has not expired at [now]. */
    public fun holdsLease(now: Duration): Boolean = leaseUntil?.let { now < it } ?: false

    /** Performs the actions that are due at [now]: elections, heartbeats, join requests, stepping down. */
    public fun tick(now: Duration): ReplicaOutput =
        step {
            when {
                role == ReplicaRole.LEADER -> tickLeader(now)
                id !in voters -> tickNonVoter(now)
                electionTimer.isDue(now) -> startPreVote(now)
                role == ReplicaRole.CANDIDATE && now >= nextPeriodicSend -> repeatVoteRequests(now)
            }
        }

    /** Handles a message from another replica. */
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

    /** Appends [payloads] if this replica is the leader. They take effect once an output lists them in [ReplicaOutput.applied]. */
    public fun propose(
        payloads: List<Payload>,
        now: Duration,
    ): ReplicaOutput =
        step {
            if (role == ReplicaRole.LEADER) appendAsLeader(payloads, now)
        }

    /** Takes a snapshot of the applied state if enough entries were applied since the last one; returns null otherwise. */
    public fun snapshotIfDue(): Snapshot? {
        val lastSnapshotIndex = log.snapshot?.index ?: 0
        val index = applied.lastApplied
        val isDue =
            index - lastSnapshotIndex >= options.entriesBetweenSnapshots || applied.bytesSinceSnapshot >= options.bytesBetweenSnapshots
        if (!isDue) return null
        val snapshot = Snapshot(index, log.termAt(index)!!, votersAt(index), state)
        log.compact(snapshot, options.retainedEntries, options.retainedBytes)
        applied.recordSnapshot()
        return snapshot
    }

    /** Returns the entries after [index], which storage must keep along with a snapshot at [index]. */
    public fun entriesAfter(index: Long): List<LogEntry> = log.from(maxOf(index + 1, log.firstIndex), Int.MAX_VALUE)

    private inline fun step(action: () -> Unit): ReplicaOutput {
        output = ReplicaOutput()
        action()
        return output
    }

    private fun send(
        to: ReplicaId,
        message: ReplicaMessage,
    ) {
        output = output.copy(messages = output.messages + ReplicaOutput.Outgoing(to, message))
    }

    private fun record(event: ElectionEvent) {
        output = output.copy(elections = output.elections + event)
    }

    private fun setVote(next: Vote) {
        if (next == vote) return
        check(next.term >= vote.term) { "the term must not decrease" }
        vote = next
        output = output.copy(vote = next)
    }

    private fun appendToLog(entries: List<LogEntry>) {
        log.append(entries)
        output = output.copy(append = output.append + entries)
        if (entries.any { it.payload is Payload.Membership }) voters = log.latestVoters()
    }

    private fun truncateLog(from: Long) {
        check(from > commitIndex) { "committed entries must not be truncated" }
        log.truncateFrom(from)
        check(output.append.isEmpty()) { "a step must not truncate the log after it appended entries" }
        output = output.copy(truncateFrom = from)
        voters = log.latestVoters()
    }

    private fun votersAt(index: Long): Set<ReplicaId> {
        val entries = log.from(log.firstIndex, Int.MAX_VALUE).filter { it.index <= index }
        val entry = entries.lastOrNull { it.payload is Payload.Membership }
        return (entry?.payload as Payload.Membership?)?.voters ?: log.snapshot?.voters.orEmpty()
    }

    private fun isQuorum(replicas: Collection<ReplicaId>): Boolean = replicas.count { it in voters } * 2 > voters.size

    /** Asks for pre-votes, or asks those again that have not granted theirs. */
    private fun startPreVote(now: Duration) {
        electionTimer.awaitPreVote(now)
        role = ReplicaRole.FOLLOWER
        leader = null
        if (!preVoting || now - preVotesFrom >= options.electionTimeout) {
            votes.clear()
            preVotesFrom = now
        }
        preVoting = true
        votes += id
        if (!prefersOther(id, now)) preVoteGrant = PreVoteGrant(id, now)
        record(ElectionEvent.PreVoteStarted(term + 1))
        if (isQuorum(votes)) startElection(now) else requestVotes(term + 1, preVote = true)
    }

    private fun startElection(now: Duration) {
        preVoting = false
        role = ReplicaRole.CANDIDATE
        leader = null
        setVote(Vote(term + 1, id))
        votes.clear()
        votes += id
        electionTimer.restart(now)
        nextPeriodicSend = now + options.heartbeat
        record(ElectionEvent.ElectionStarted(term))
        if (isQuorum(votes)) becomeLeader(now) else requestVotes(term, preVote = false)
    }

    /** Asks the other instances to let this replica join their log, or to start a new one with it if none of them has a log. */
    private fun tickNonVoter(now: Duration) {
        if (now < nextPeriodicSend) return
        nextPeriodicSend = now + options.joinInterval
        for (member in joinContacts()) {
            val recipient = ReplicaId(member, "")
            if (isUninitialized && mayBootstrap) send(recipient, ReplicaMessage.BootstrapQuery())
            send(recipient, ReplicaMessage.Join())
        }
        if (isUninitialized && mayBootstrap && bootstrap.isAlone) startLog(setOf(id))
    }

    private fun joinContacts(): Set<String> = members + voters.map { it.instance } - id.instance

    /**
     * Replies to the query. If the sender is one of the initial voters, it missed [ReplicaMessage.StartLog] and gets it again.
     * This is safe because it still has its first identity and has stored nothing under it.
     */
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
        reply.leader?.let(::joinLeader)
        if (!isUninitialized || !mayBootstrap) return
        val initialVoters = bootstrap.recordReply(from, reply.uninitialized) ?: return
        startLog(initialVoters)
        for (voter in initialVoters - id) send(voter, ReplicaMessage.StartLog(initialVoters))
    }

    /** Asks [leader] to let this replica join, unless it is among those that are asked anyway. */
    private fun joinLeader(leader: ReplicaId) {
        if (id in voters || leader.instance == id.instance || leader.instance in joinContacts()) return
        send(ReplicaId(leader.instance, ""), ReplicaMessage.Join())
    }

    private fun startLog(initialVoters: Set<ReplicaId>) {
        setVote(Vote(term = 1))
        appendToLog(listOf(LogEntry(1, 1, Payload.Membership(initialVoters))))
    }

    private fun requestVotes(
        atTerm: Long,
        preVote: Boolean,
    ) {
        for (voter in voters - votes) send(voter, ReplicaMessage.VoteRequest(atTerm, log.lastIndex, log.lastTerm, preVote))
    }

    /** Asks those again that have not granted their vote, since the request or the reply may be lost. */
    private fun repeatVoteRequests(now: Duration) {
        nextPeriodicSend = now + options.heartbeat
        requestVotes(term, preVote = false)
    }

    private fun onVoteRequest(
        from: ReplicaId,
        request: ReplicaMessage.VoteRequest,
        now: Duration,
    ) {
        if (role == ReplicaRole.LEADER && from !in voters) onJoin(from, now)
        if (!request.preVote && !mayHaveLeader(now) && request.term > term) stepDown(request.term, null)
        val refusal = refusalOf(from, request, now)
        if (refusal != null) {
            record(ElectionEvent.VoteRefused(from, request.term, request.preVote, refusal))
        } else if (request.preVote) {
            preVoteGrant = PreVoteGrant(from, now)
            if (from < id) preVoting = false
            electionTimer.yieldToPreVote(now)
        } else {
            setVote(Vote(term, from))
            electionTimer.restart(now)
        }
        send(from, ReplicaMessage.VoteReply(term, granted = refusal == null, request.preVote))
    }

    /** Returns why this replica refuses to vote for [candidate], or null if it grants its vote. */
    private fun refusalOf(
        candidate: ReplicaId,
        request: ReplicaMessage.VoteRequest,
        now: Duration,
    ): VoteRefusal? {
        val hasVoted = role != ReplicaRole.FOLLOWER || (vote.candidate ?: candidate) != candidate
        return when {
            isUninitialized -> VoteRefusal.UNINITIALIZED
            mayHaveLeader(now) -> VoteRefusal.LEADER_MAY_BE_ALIVE
            LogPosition(request.lastTerm, request.lastIndex) < LogPosition(log.lastTerm, log.lastIndex) -> VoteRefusal.LOG_BEHIND
            request.term < term || (request.preVote && request.term == term) -> VoteRefusal.OLD_TERM
            !request.preVote && hasVoted -> VoteRefusal.HAS_VOTED
            request.preVote && prefersOther(candidate, now) -> VoteRefusal.PREFERS_OTHER
            else -> null
        }
    }

    /**
     * True if another candidate, of those whose logs are good enough the one with the lowest ID, was granted a pre-vote less than a heartbeat
     * ago. Otherwise two candidates that ask at once can split the votes, and the next election is only held after a whole timeout.
     */
    private fun prefersOther(
        candidate: ReplicaId,
        now: Duration,
    ): Boolean = preVoteGrant?.let { it.candidate < candidate && now - it.at < options.heartbeat } ?: false

    /** True while a leader that this replica has heard may hold its lease, or while this replica holds one. */
    private fun mayHaveLeader(now: Duration): Boolean = now - lastLeaderContact < options.electionTimeout || holdsLease(now)

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
        if (!isQuorum(followers.activeReplicas(now))) {
            stepDown(term, null)
            electionTimer.restart(now)
            return
        }
        if (now >= nextPeriodicSend) broadcast(now)
        changeVotersIfNeeded(now)
    }

    private fun broadcast(now: Duration) {
        nextPeriodicSend = now + options.heartbeat
        followers.startRound(now)
        for ((replica, progress) in followers.progressByReplica) sendEntries(replica, progress, now)
        followers.confirmRounds(::isQuorum)
    }

    private fun sendEntries(
        to: ReplicaId,
        progress: Followers.Progress,
        now: Duration,
    ) {
        val previous = progress.nextIndex - 1
        val previousTerm = log.termAt(previous)
        if (previousTerm == null || previous < log.firstIndex - 1) {
            val snapshot = checkNotNull(log.snapshot) { "the log was compacted without a snapshot" }
            sendSnapshot(to, progress, snapshot, now)
            return
        }
        val entries = if (mayTakeMore(progress)) entriesFrom(progress.nextIndex) else emptyList()
        send(to, ReplicaMessage.Append(term, previous, previousTerm, entries, commitIndex, followers.lastRound))
        progress.recordSent(entries)
    }

    private fun entriesFrom(index: Long): List<LogEntry> = log.from(index, options.maxEntriesPerAppend).takeBytes(options.maxBytesPerAppend)

    private fun mayTakeMore(progress: Followers.Progress): Boolean = progress.unacknowledgedBytes < options.maxUnacknowledgedBytes

    private fun sendSnapshot(
        to: ReplicaId,
        progress: Followers.Progress,
        snapshot: Snapshot,
        now: Duration,
    ) {
        val sentAt = progress.snapshotSentAt
        if (sentAt != null && now < sentAt + options.snapshotResendTimeout) return
        progress.snapshotSentAt = now
        send(to, ReplicaMessage.InstallSnapshot(term, snapshot, followers.lastRound))
    }

    private fun onAppend(
        from: ReplicaId,
        append: ReplicaMessage.Append,
        now: Duration,
    ) {
        if (!acceptLeader(from, append.term, now)) {
            send(from, ReplicaMessage.AppendReply(term, false, 0, append.round))
            return
        }
        val localTerm = log.termAt(append.previousIndex)
        val committed = append.previousIndex < commitIndex
        if (!committed && localTerm != append.previousTerm) {
            val retryAfter = minOf(append.previousIndex - 1, log.lastIndex)
            send(from, ReplicaMessage.AppendReply(term, false, maxOf(retryAfter, commitIndex), append.round))
            return
        }
        appendReceived(append.entries)
        val matchIndex = append.previousIndex + append.entries.size
        commitUpTo(minOf(append.commit, matchIndex))
        if (commitIndex >= append.commit) recordIfCurrent()
        send(from, ReplicaMessage.AppendReply(term, true, matchIndex, append.round))
    }

    private fun appendReceived(entries: List<LogEntry>) {
        val conflict = entries.firstOrNull { it.index > commitIndex && it.index <= log.lastIndex && log.termAt(it.index) != it.term }
        if (conflict != null) truncateLog(conflict.index)
        appendToLog(entries.filter { it.index > log.lastIndex })
    }

    private fun acceptLeader(
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
        electionTimer.restart(now)
        preVoting = false
        return true
    }

    private fun onInstall(
        from: ReplicaId,
        install: ReplicaMessage.InstallSnapshot,
        now: Duration,
    ) {
        if (!acceptLeader(from, install.term, now)) {
            send(from, ReplicaMessage.AppendReply(term, false, 0, install.round))
            return
        }
        val snapshot = install.snapshot
        if (snapshot.index > commitIndex) applySnapshot(snapshot)
        send(from, ReplicaMessage.AppendReply(term, true, snapshot.index, install.round))
    }

    /** Keeps a log that holds the last entry of [snapshot], because the entries after it may be acknowledged; otherwise replaces it. */
    private fun applySnapshot(snapshot: Snapshot) {
        if (log.termAt(snapshot.index) == snapshot.term) {
            commitUpTo(snapshot.index)
            return
        }
        log.install(snapshot)
        applied.install(snapshot)
        voters = log.latestVoters()
        output = output.copy(install = snapshot)
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
        val progress = followers[from]
        if (role != ReplicaRole.LEADER || reply.term != term || progress == null) return
        progress.lastReply = now
        progress.confirmedRound = maxOf(progress.confirmedRound, reply.round)
        if (reply.accepted) onMatch(from, progress, reply.matchIndex, now) else progress.resumeAfter(reply.matchIndex)
        if (!reply.accepted) sendEntries(from, progress, now)
        followers.confirmRounds(::isQuorum)
    }

    private fun onMatch(
        from: ReplicaId,
        progress: Followers.Progress,
        matchIndex: Long,
        now: Duration,
    ) {
        progress.snapshotSentAt = null
        progress.recordMatch(matchIndex)
        advanceCommit(now)
        val hasMore = progress.nextIndex <= log.lastIndex && mayTakeMore(progress)
        if (followers[from] === progress && hasMore) sendEntries(from, progress, now)
    }

    private fun advanceCommit(now: Duration) {
        val majorityIndex = followers.majorityIndex(voters, log.lastIndex)
        if (majorityIndex > commitIndex && log.termAt(majorityIndex) == term) {
            val isFirstOfTerm = log.termAt(commitIndex) != term
            commitUpTo(majorityIndex)
            recordIfCurrent()
            if (isFirstOfTerm) broadcast(now)
            if (id !in voters) stepDown(term, null) else removeFormerVoters()
            if (role == ReplicaRole.LEADER) changeVotersIfNeeded(now)
        }
    }

    private fun removeFormerVoters() {
        if (log.latestMembershipIndex() > commitIndex) return
        followers.removeNonMembers(voters)
    }

    private fun commitUpTo(index: Long) {
        val entries = applied.commitUpTo(index, log)
        if (entries.isNotEmpty()) output = output.copy(applied = output.applied + entries)
    }

    /** Entries of earlier terms are known to be committed only once an entry of the leader's own term is. */
    private fun recordIfCurrent() {
        if (log.termAt(commitIndex) == term) isCurrent = true
    }

    private fun onJoin(
        from: ReplicaId,
        now: Duration,
    ) {
        if (role != ReplicaRole.LEADER) {
            leader?.let { send(from, ReplicaMessage.BootstrapQueryReply(isUninitialized, leader = it)) }
            return
        }
        if (from in voters) return
        if (options.voterTarget == null && from.instance !in members) return
        sendEntries(from, followers.join(from, log.lastIndex + 1, now), now)
    }

    /** Proposes to add a replica that has caught up or to remove an unresponsive one, once the previous change is committed. */
    private fun changeVotersIfNeeded(now: Duration) {
        if (role != ReplicaRole.LEADER || log.latestMembershipIndex() > commitIndex || log.termAt(commitIndex) != term) return
        val next = followers.nextVoters(voters, commitIndex, now) ?: return
        appendAsLeader(listOf(Payload.Membership(next)), now)
    }
}
