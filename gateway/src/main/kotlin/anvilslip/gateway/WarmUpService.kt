package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.kernel.Service
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs [work] once before traffic arrives, since the first requests are otherwise delayed by the loading, interpretation and compilation of
 * their code. Nothing waits for it: it ends with the first real request, and a failure is logged and has no other effect.
 *
 * @param isNeeded whether [work] is run at all, read when the service starts
 * @param isDue whether [work] may begin
 */
internal class WarmUpService(
    override val name: String,
    private val clock: Clock,
    private val isNeeded: () -> Boolean = { true },
    private val isDue: () -> Boolean,
    private val work: WarmUpWork,
) : Service {
    private val log = EventLogger("warm-up")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    @Volatile
    private var hasTraffic = false

    override suspend fun start() {
        if (isNeeded()) scope.launch { runOnceDue() }
    }

    override suspend fun stop() {
        scope.coroutineContext[Job]?.cancelAndJoin()
    }

    /** Ends the warm-up because a real request has arrived. Does not block. */
    fun recordTraffic() {
        if (hasTraffic) return
        hasTraffic = true
        scope.cancel()
    }

    private suspend fun runOnceDue() {
        while (!isDue()) delay(POLL_INTERVAL)
        val startedAt = clock.elapsed()
        try {
            val result = work.run()
            log.info(
                "warm_up_completed",
                "part" to name,
                "exchanges" to result.exchanges,
                "succeeded" to result.succeeded,
                "took" to (clock.elapsed() - startedAt),
            )
        } catch (e: CancellationException) {
            log.info("warm_up_ended", "part" to name, "traffic" to hasTraffic, "after" to (clock.elapsed() - startedAt))
            throw e
        } catch (e: Exception) {
            log.warn("warm_up_failed", "part" to name, "error" to e)
        }
    }

    private companion object {
        val POLL_INTERVAL = 250.milliseconds
    }
}
