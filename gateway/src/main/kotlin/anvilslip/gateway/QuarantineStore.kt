package anvilslip.gateway

import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.kernel.launchPeriodically
import anvilslip.policy.SuspectReport
import anvilslip.state.Command
import anvilslip.state.ReplicatedState
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps the quarantines in the replicated state, so that they outlast all processes. Instances exchange suspects without a leader and
 * decide by themselves; the leader only records the few that are quarantined, and control instances restore them when they start.
 *
 * @param isLeading whether this instance is the leader
 * @param currentState the replicated state of this instance
 * @param propose replicates a command; returns true once it is committed
 */
public class QuarantineStore(
    private val suspects: SuspectRegistry,
    private val isLeading: () -> Boolean,
    private val currentState: () -> ReplicatedState,
    private val propose: suspend (Command) -> Boolean,
) : Service {
    override val name: String = NAME
    private val log = EventLogger("quarantines")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val lock = Any()
    private var restored = emptyMap<String, Set<String>>()

    override suspend fun start() {
        scope.launchPeriodically("quarantine-store", STORE_INTERVAL) { store() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Adds the quarantines of [state] to the suspects known here, each of them once. */
    public fun restore(state: ReplicatedState) {
        synchronized(lock) {
            val stored = state.quarantines
            if (stored == restored) return
            val added = stored.filter { (key, crashes) -> restored[key] != crashes }
            restored = stored
            suspects.merge(added.map { (key, crashes) -> SuspectReport(key, crashes) })
        }
    }

    /** Records quarantines that were imposed or lifted since the last call, if this instance is the leader. */
    internal suspend fun store() {
        if (!isLeading()) return
        val state = currentState()
        // Otherwise a quarantine that a previous leader stored and that is not known here yet would be taken for lifted.
        restore(state)
        val imposed = suspects.quarantines()
        val added = imposed.filterKeys { it !in state.quarantines }
        val removed = state.quarantines.keys - imposed.keys
        if (added.isEmpty() && removed.isEmpty()) return
        val stored = propose(Command.UpdateQuarantines(added, removed))
        log.info(
            "quarantines_stored",
            "added" to added.keys.joinToString(","),
            "removed" to removed.joinToString(","),
            "committed" to stored,
        )
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "quarantine-store"

        /** Short against the time in which all instances must stop a request that crashes servers. */
        private val STORE_INTERVAL = 200.milliseconds
    }
}
