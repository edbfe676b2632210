package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import anvilslip.policy.DispatchDecision
import anvilslip.policy.ServerPhase
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds out whether a backend server crashed when an exchange with it broke. A process that has ended refuses connections; one that
 * reset a connection or answered with garbage accepts them, and one that is cut off does neither. Servers that are leaving end as
 * planned and do not count; nor does a refusal while other servers refuse as well, which shows that this instance is cut off.
 */
public class CrashDetector(
    private val client: HttpClient,
    private val clusterView: ClusterView,
) : Service {
    override val name: String = NAME
    private val log = EventLogger("servers")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val checks = ConcurrentHashMap<String, Deferred<Boolean>>()

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /**
     * Checks the server of [decision] after an exchange with it broke, and calls [onCrash] with its incarnation if it crashed. Returns
     * after that, or after [MAX_WAIT] while the check goes on.
     */
    public suspend fun checkAfterBreak(
        decision: DispatchDecision.Send,
        onCrash: (incarnation: String) -> Unit,
    ) {
        val report = clusterView.server(decision.server)
        if (report != null && report.phase != ServerPhase.READY) return
        val incarnation = "${decision.server}@${report?.startedAtMillis ?: 0}"
        val check = scope.launch { if (isDown(incarnation, decision.address)) onCrash(incarnation) }
        withTimeoutOrNull(MAX_WAIT) { check.join() }
    }

    /** Checks each incarnation once at a time, however many exchanges broke with it. */
    private suspend fun isDown(
        incarnation: String,
        address: String,
    ): Boolean {
        val check = checks.computeIfAbsent(incarnation) { scope.async { probe(incarnation, address) } }
        try {
            return check.await()
        } finally {
            checks.remove(incarnation, check)
        }
    }

    private suspend fun probe(
        incarnation: String,
        address: String,
    ): Boolean {
        val refused = client.isRefused(address)
        val isCrash = refused && !refuseAll(address)
        log.info("server_checked", "server" to incarnation, "address" to address, "refused" to refused, "crash" to isCrash)
        return isCrash
    }

    /** True if no other server can be connected to either, so that the fault is rather in this instance's own links. */
    private suspend fun refuseAll(address: String): Boolean {
        val others = clusterView.servers().filter { it.phase == ServerPhase.READY && it.address != address }
        return others.size >= MIN_COMPARED && others.shuffled().take(MAX_COMPARED).none { client.canConnect(it.address) }
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "crash-detector"

        /** Fewer other servers may all have crashed by the same request. */
        private const val MIN_COMPARED = 3
        private const val MAX_COMPARED = 8

        /** A refusal arrives within a round trip; a server that is cut off must not delay the next attempt. */
        private val MAX_WAIT = 100.milliseconds
    }
}
