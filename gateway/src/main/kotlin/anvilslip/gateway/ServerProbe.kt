package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.kernel.Service
import anvilslip.kernel.launchPeriodically
import anvilslip.policy.ServerPhase
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tries to connect to a few backend servers while [reachability] is in doubt: when open connections have gone silent, and while this
 * instance is isolated, so that it notices the end of that. The client reports the outcome.
 */
internal class ServerProbe(
    private val client: HttpClient,
    private val clusterView: ClusterView,
    private val reachability: ServerReachability,
) : Service {
    override val name: String = NAME
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    override suspend fun start() {
        scope.launchPeriodically(NAME, INTERVAL) { if (reachability.isCheckDue()) probe() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Tries one server; if that fails, which may be its own fault, as many more as are needed to tell. */
    private suspend fun probe() {
        val servers = clusterView.servers().filter { it.phase == ServerPhase.READY }.shuffled()
        val first = servers.firstOrNull() ?: return
        if (client.canConnect(first.address) || reachability.isIsolated) return
        val others = servers.drop(1).take(ServerReachability.ISOLATING_FAILURES - 1)
        others.map { scope.launch { client.canConnect(it.address) } }.joinAll()
    }

    companion object {
        /** Name in the service registry. */
        const val NAME: String = "server-probe"
        private val INTERVAL = 100.milliseconds
    }
}
