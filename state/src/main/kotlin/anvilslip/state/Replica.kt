package anvilslip.state

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs a [ReplicaCore] on one thread: storage first, then messages, then outcomes. Proposals that wait are written together. */
public class Replica(
    private val instance: String,
    private val members: Set<String>,
    private val storage: Storage,
    private val transport: ReplicaTransport,
    private val clock: Clock,
    private val options: ReplicaOptions = ReplicaOptions(),
    private val random: Random = Random.Default,
    private val mayBootstrap: Boolean = true,
    /** Called on the replica's own thread with each state that is new here. */
    private val onStateChange: (ReplicatedState) -> Unit = {},
) : Service {
    override val name: String = NAME

    private sealed interface Input {
        class Message(
            val from: ReplicaId,
            val message: ReplicaMessage,
        ) : Input

        class Proposal(
            val command: Command,
            val result: CompletableDeferred<Either<ProposeError, Outcome>>,
        ) : Input
    }

    private class Waiting(
        val term: Long,
        val result: CompletableDeferred<Either<ProposeError, Outcome>>,
    )

    private val log = EventLogger("replica")
    private val inputs = Channel<Input>(QUEUE_LENGTH)
    private val waiting = HashMap<Long, Waiting>()
    private lateinit var core: ReplicaCore
    private lateinit var scope: CoroutineScope

    /** The latest view; renewed at least with every tick. */
    @Volatile
    public var view: ReplicaView = ReplicaView(ReplicaId(instance, ""))
        private set

    /** True while this replica leads and no other can be elected. */
    public val isLeading: Boolean
        get() = view.leaseUntil?.let { clock.elapsed() < it } ?: false

    @OptIn(ExperimentalCoroutinesApi::class)
    override suspend fun start() {
        open()
        scope = CoroutineScope(Dispatchers.IO.limitedParallelism(1, "replica"))
        scope.launch { run() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
        storage.close()
    }

    /** Takes in a message of another replica; dropped when too many wait. */
    public fun receive(
        from: ReplicaId,
        message: ReplicaMessage,
    ) {
        inputs.trySend(Input.Message(from, message))
    }

    /** Has [command] agreed on and returns its outcome. */
    public suspend fun propose(command: Command): Either<ProposeError, Outcome> {
        val result = CompletableDeferred<Either<ProposeError, Outcome>>()
        if (!inputs.trySend(Input.Proposal(command, result)).isSuccess) return notLeader().left()
        return withTimeoutOrNull(PROPOSE_TIMEOUT) { result.await() } ?: ProposeError.Unknown.left()
    }

    private suspend fun run() {
        while (true) {
            try {
                serve()
            } catch (e: StorageException) {
                stepAside(e)
            }
            comeBack()
        }
    }

    private suspend fun serve(): Nothing {
        while (true) {
            val first = withTimeoutOrNull(TICK) { inputs.receive() }
            step(first)
        }
    }

    /** Neither votes nor acknowledges any more, since nothing can be stored. */
    private fun stepAside(reason: StorageException) {
        log.error("replica_stepped_aside", "error" to reason.message)
        view = ReplicaView(core.id)
        waiting.values.forEach { it.result.complete(ProposeError.Unknown.left()) }
        waiting.clear()
        storage.close()
    }

    /** Starts again from what is stored, once it can be read and synced. */
    private suspend fun comeBack() {
        while (true) {
            val retryAt = clock.elapsed() + REOPEN_INTERVAL
            while (clock.elapsed() < retryAt) withTimeoutOrNull(retryAt - clock.elapsed()) { refuse(inputs.receive()) }
            try {
                open()
                return
            } catch (e: StorageException) {
                log.warn("storage_not_back", "error" to e.message)
                storage.close()
            }
        }
    }

    private fun open() {
        val recovered = storage.recover()
        core = ReplicaCore(ReplicaId(instance, recovered.identity), recovered, members, options, random, clock.elapsed(), mayBootstrap)
        publish()
        log.info("replica_started", "id" to core.id, "index" to core.lastIndex, "term" to core.term, "blank" to core.isUninitialized)
    }

    private fun refuse(input: Input) {
        if (input is Input.Proposal) input.result.complete(ProposeError.NotLeader(null).left())
    }

    private fun step(first: Input?) {
        val proposals = mutableListOf<Input.Proposal>()
        var input = first
        var taken = 0
        while (input != null && taken++ < MAX_BATCH) {
            when (input) {
                is Input.Message -> carryOut(core.receive(input.from, input.message, clock.elapsed()))
                is Input.Proposal -> proposals += input
            }
            input = inputs.tryReceive().getOrNull()
        }
        if (input != null) (input as? Input.Proposal)?.let { proposals += it } ?: receiveLate(input)
        if (proposals.isNotEmpty()) propose(proposals)
        carryOut(core.tick(clock.elapsed()))
        compactIfDue()
        publish()
    }

    private fun receiveLate(input: Input) {
        if (input is Input.Message) carryOut(core.receive(input.from, input.message, clock.elapsed()))
    }

    private fun propose(proposals: List<Input.Proposal>) {
        if (core.role != ReplicaRole.LEADER) {
            proposals.forEach { it.result.complete(notLeader().left()) }
            return
        }
        val atMillis = clock.now().toEpochMilliseconds()
        var index = core.lastIndex
        for (proposal in proposals) waiting[++index] = Waiting(core.term, proposal.result)
        carryOut(core.propose(proposals.map { Payload.Apply(it.command, atMillis) }, clock.elapsed()))
    }

    private fun carryOut(output: ReplicaOutput) {
        if (output.needsSync) storage.store(output)
        for (outgoing in output.messages) transport.send(outgoing.to, outgoing.message)
        if (output.applied.isNotEmpty()) publish()
        for (applied in output.applied) complete(applied)
    }

    private fun complete(applied: ReplicaOutput.Applied) {
        val waiter = waiting.remove(applied.index) ?: return
        val outcome = applied.outcome?.takeIf { applied.term == waiter.term }
        waiter.result.complete(outcome?.right() ?: notLeader().left())
    }

    private fun compactIfDue() {
        val snapshot = core.snapshotIfDue() ?: return
        storage.compact(snapshot, core.entriesAfter(snapshot.index))
        log.info("snapshot_taken", "index" to snapshot.index)
    }

    private fun publish() {
        val before = view.state
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
        if (core.state !== before) onStateChange(core.state)
    }

    private fun notLeader() = ProposeError.NotLeader(view.leader?.instance)

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "replica"
        private const val QUEUE_LENGTH = 10_000
        private const val MAX_BATCH = 256
        private val REOPEN_INTERVAL: Duration = 500.milliseconds
        private val TICK: Duration = 50.milliseconds
        private val PROPOSE_TIMEOUT: Duration = 3.seconds
    }
}
