package anvilslip.gateway

import anvilslip.kernel.EventLogger
import anvilslip.kernel.isFatal
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** Returns the result of [exchange], or null if it fails, so that its outcome is recorded and [server] receives further orders. */
internal suspend fun <T : Any> orNullOnFailure(
    log: EventLogger,
    server: String,
    exchange: suspend () -> T?,
): T? =
    try {
        exchange()
    } catch (e: Throwable) {
        if (e.isFatal) throw e
        currentCoroutineContext().ensureActive()
        log.error("engine_exchange_failed", "server" to server, "error" to e)
        null
    }
