package anvilslip.state

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.SizedQueue
import anvilslip.kernel.isFatal
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs a [ReplicaCore] on a single thread. The effects of each step are executed in a fixed order: storage, then messages, then
 * the outcomes of proposals. Queued proposals are written and synced in one batch.
 */
public class Replica(
    private val instance: String,
    private val members: Set<String>,
    private val storage: Storage,
    private val transport: ReplicaTransport,
    private val clock: Clock,
    private val options: ReplicaOptions = ReplicaOptions(),
    private val random: Random = Random.Default,
    private val mayBootstrap: Boolean = true,
    /** Monotonic time of the start of the process, before which it cannot have acknowledged anything. */
    startedAt: Duration = clock.elapsed(),
    /**
     * Called on the replica's thread with each new replicated state, from the first one after a start that is known to include everything
     * that was committed before ([ReplicaCore.isCurrent]).
     */
    private val onStateChange: (ReplicatedState) -> Unit = {},
    /** Called on the replica's thread with each new leader and its term. */
    private val onLeaderChange: (leader: ReplicaId, term: Long) -> Unit = { _, _ -> },
) : Service {
    override val name: String = NAME

    private sealed interface Input {
        /** Approximate size of what the input carries, in bytes. */
        val contentBytes: Int

        class Message(
            val from: ReplicaId,
            val message: ReplicaMessage,
        ) : Input {
            override val contentBytes = message.contentBytes
        }

        class Proposal(
            val command: Command,
            val result: CompletableDeferred<Either<ProposeError, Committed>>,
        ) : Input {
            override val contentBytes = command.contentBytes
        }
    }

    /** What [outcome] a command had, and the state right after the step that applied it. */
    private class Committed(
        val outcome: Outcome,
        val read: ConfirmedRead,
    )

    private class PendingProposal(
        val term: Long,
        val result: CompletableDeferred<Either<ProposeError, Committed>>,
    )

    private val log = EventLogger("replica")
    private val elections = ElectionLog(log)
    private val inputs = SizedQueue<Input>(QUEUE_LENGTH, QUEUE_BYTES) { it.contentBytes }
    private val pendingProposals = HashMap<Long, PendingProposal>()
    private lateinit var core: ReplicaCore

    /** Time since which this replica has acknowledged nothing, if its storage is not open. */
    private var silentSince = startedAt

    /** The state with which [onStateChange] was last called. */
    private var announcedState: ReplicatedState? = null
    private lateinit var scope: CoroutineScope

    /** The latest view of the replica; updated at least once per tick. */
    @Volatile
    public var view: ReplicaView = ReplicaView(ReplicaId(instance, ""))
        private set

    private val opened = CompletableDeferred<Duration>()
    private val current = CompletableDeferred<Unit>()

    /** Returns the monotonic time at which this replica was opened, once it is. */
    public suspend fun awaitOpen(): Duration = opened.await()

    /** Returns once this replica is known to have all that was committed before it started ([ReplicaCore.isCurrent]). */
    public suspend fun awaitCurrent(): Unit = current.await()

    /** True while this replica is the leader and holds the leader lease. */
    public val isLeading: Boolean get() = view.isLeading(clock.elapsed())

    @OptIn(ExperimentalCoroutinesApi::class)
    override suspend fun start() {
        val isOpen = openIfReadable()
        scope = CoroutineScope(Dispatchers.IO.limitedParallelism(1, "replica"))
        scope.launch { if (isOpen) run() else rejectInputs() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
        storage.close()
    }

    /** Enqueues a message from another replica; drops it if the queue is full. */
    public fun receive(
        from: ReplicaId,
        message: ReplicaMessage,
    ) {
        inputs.trySend(Input.Message(from, message))
    }

    /** Replicates [command] and returns its outcome once it is applied. */
    public suspend fun propose(command: Command): Either<ProposeError, Outcome> = commit(command).map { it.outcome }

    /** Returns a state that includes every command that was committed before the call. */
    public suspend fun read(): Either<ProposeError, ConfirmedRead> = commit(Command.ReadBarrier).map { it.read }

    private suspend fun commit(command: Command): Either<ProposeError, Committed> {
        val result = CompletableDeferred<Either<ProposeError, Committed>>()
        if (!inputs.trySend(Input.Proposal(command, result))) return notLeader().left()
        return withTimeoutOrNull(PROPOSE_TIMEOUT) { result.await() } ?: ProposeError.Unknown.left()
    }

    private suspend fun run() {
        while (true) {
            try {
                processInputs()
            } catch (e: Throwable) {
                if (e.isFatal) throw e
                currentCoroutineContext().ensureActive()
                suspendAfterFailure(e)
            }
            reopenStorage()
        }
    }

    private suspend fun processInputs(): Nothing {
        while (true) {
            val first = withTimeoutOrNull(TICK) { inputs.receive() }
            processBatch(first)
        }
    }

    /**
     * Closes the storage and fails pending proposals. The replica neither votes nor acknowledges entries before it has restarted from
     * what is stored, since its state in memory may be incomplete.
     */
    private fun suspendAfterFailure(reason: Throwable) {
        log.error("replica_suspended", "error" to reason)
        silentSince = clock.elapsed()
        view = ReplicaView(core.id)
        pendingProposals.values.forEach { it.result.complete(ProposeError.Unknown.left()) }
        pendingProposals.clear()
        storage.close()
    }

    /** Retries until the stored data can be read and synced, then restarts the replica from it. */
    private suspend fun reopenStorage() {
        while (true) {
            val retryAt = clock.elapsed() + REOPEN_INTERVAL
            while (clock.elapsed() < retryAt) withTimeoutOrNull(retryAt - clock.elapsed()) { rejectWhileSuspended(inputs.receive()) }
            try {
                open()
                return
            } catch (e: Throwable) {
                if (e.isFatal) throw e
                log.warn("storage_reopen_failed", "error" to e)
                storage.close()
            }
        }
    }

    /**
     * Opens the storage; returns false if only another build can read it. The instance then runs on without a replica, and the data stays
     * as it is for that build.
     */
    private fun openIfReadable(): Boolean =
        try {
            open()
            true
        } catch (e: UnknownRecordException) {
            log.error("replica_suspended", "error" to e)
            opened.complete(clock.elapsed())
            storage.close()
            false
        }

    private suspend fun rejectInputs(): Nothing {
        while (true) rejectWhileSuspended(inputs.receive())
    }

    private fun open() {
        val recovered = storage.recover()
        announcedState = null
        val id = ReplicaId(instance, recovered.identity)
        core = ReplicaCore(id, recovered, members, options, random, clock.elapsed(), silentSince, mayBootstrap)
        publishView()
        for (voter in core.currentVoters - id) transport.connect(voter)
        opened.complete(clock.elapsed())
        log.info(
            "replica_started",
            "id" to core.id,
            "index" to core.lastIndex,
            "term" to core.term,
            "document" to core.state.document?.version,
            "uninitialized" to core.isUninitialized,
            "silent_ms" to (clock.elapsed() - silentSince).inWholeMilliseconds,
        )
    }

    private fun rejectWhileSuspended(input: Input) {
        if (input is Input.Proposal) input.result.complete(ProposeError.NotLeader(null).left())
    }

    private fun processBatch(first: Input?) {
        val proposals = mutableListOf<Input.Proposal>()
        var input = first
        var processed = 0
        while (input != null && processed++ < MAX_BATCH) {
            when (input) {
                is Input.Message -> execute(core.receive(input.from, input.message, clock.elapsed()))
                is Input.Proposal -> proposals += input
            }
            input = inputs.tryReceive()
        }
        if (input != null) (input as? Input.Proposal)?.let { proposals += it } ?: receiveMessage(input)
        if (proposals.isNotEmpty()) propose(proposals)
        execute(core.tick(clock.elapsed()))
        compactIfDue()
        publishView()
    }

    private fun receiveMessage(input: Input) {
        if (input is Input.Message) execute(core.receive(input.from, input.message, clock.elapsed()))
    }

    private fun propose(proposals: List<Input.Proposal>) {
        if (core.role != ReplicaRole.LEADER || core.isLogFull) {
            if (core.isLogFull) log.warn("log_full", "index" to core.lastIndex, "commit" to core.commitIndex, "rejected" to proposals.size)
            proposals.forEach { it.result.complete(notLeader().left()) }
            return
        }
        val atMillis = clock.now().toEpochMilliseconds()
        var index = core.lastIndex
        for (proposal in proposals) pendingProposals[++index] = PendingProposal(core.term, proposal.result)
        execute(core.propose(proposals.map { Payload.Apply(it.command, atMillis) }, clock.elapsed()))
    }

    private fun execute(output: ReplicaOutput) {
        output.elections.forEach(elections::record)
        if (output.needsSync) storage.store(output)
        for (outgoing in output.messages) transport.send(outgoing.to, outgoing.message)
        if (output.applied.isNotEmpty()) publishView()
        for (applied in output.applied) completeProposal(applied)
    }

    private fun completeProposal(applied: ReplicaOutput.Applied) {
        val pending = pendingProposals.remove(applied.index) ?: return
        val outcome = applied.outcome?.takeIf { applied.term == pending.term }
        val committed = outcome?.let { Committed(it, ConfirmedRead(core.state, applied.index, applied.term)) }
        pending.result.complete(committed?.right() ?: notLeader().left())
    }

    private fun compactIfDue() {
        val snapshot = core.snapshotIfDue() ?: return
        storage.compact(snapshot, core.entriesAfter(snapshot.index))
        log.info("snapshot_taken", "index" to snapshot.index)
    }

    private fun publishView() {
        val before = view
        // Before the view, so that whoever sees this replica lead knows the state that it leads with.
        if (core.isCurrent) announceState()
        view =
            ReplicaView(
                core.id,
                core.role,
                core.leader,
                core.term,
                core.commitIndex,
                core.lastIndex,
                core.currentVoters,
                core.state,
                core.leaseUntil,
                core.acknowledgedBy,
            )
        val leader = view.leader
        if (leader != null && (leader != before.leader || view.term != before.term)) announceLeader(leader)
    }

    private fun announceLeader(leader: ReplicaId) {
        log.info("leader_known", "leader" to leader, "term" to view.term)
        onLeaderChange(leader, view.term)
    }

    private fun announceState() {
        val state = core.state
        if (state === announcedState) return
        if (announcedState == null) recordCurrent(state)
        announcedState = state
        onStateChange(state)
    }

    private fun recordCurrent(state: ReplicatedState) {
        current.complete(Unit)
        log.info("replica_current", "index" to core.commitIndex, "term" to core.term, "document" to state.document?.version)
    }

    private fun notLeader() = ProposeError.NotLeader(view.leader?.instance)

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "replica"
        private const val QUEUE_LENGTH = 10_000
        private const val QUEUE_BYTES = 16L * 1024 * 1024
        private const val MAX_BATCH = 256
        private val REOPEN_INTERVAL: Duration = 500.milliseconds
        private val TICK: Duration = 50.milliseconds
        private val PROPOSE_TIMEOUT: Duration = 3.seconds
    }
}
