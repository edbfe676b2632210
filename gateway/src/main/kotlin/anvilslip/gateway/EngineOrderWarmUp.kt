package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpServer
import anvilslip.kernel.Clock
import anvilslip.settings.Address
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends synthetic orders and inventory queries through the [EngineClient] of [dialects] to an HTTP server on the loopback address that answers
 * as an engine does. A new leader sends its first orders while all entry instances ask it at once; with interpreted code these orders
 * take so long that the limit on loads is used up by orders that have not been sent.
 */
public class EngineOrderWarmUp(
    private val dialects: GatewayDialects,
    private val clock: Clock,
    private val exchanges: Int = EXCHANGES,
) : WarmUpWork {
    override suspend fun run(): WarmUpWork.Result {
        val server = HttpServer(NAME, Address(LOOPBACK, 0), dialects.samples.engine, threads = 1)
        val client = HttpClient(TIMEOUT, threads = 1, clock = clock, serviceName = NAME)
        try {
            server.start()
            val address = "$LOOPBACK:${server.boundPort}"
            val engineClient = RetryingEngineClient(dialects.engineClient(client, NAME))
            return runInBatches(exchanges, BATCH, BATCH_PAUSE) { number ->
                if (number % QUERY_EVERY == 0) {
                    engineClient.queryInventory(ENGINE, address) != null
                } else {
                    engineClient.sendOrder(order(number, address), FENCING_TOKEN) in ACCEPTED
                }
            }
        } finally {
            withContext(NonCancellable) {
                client.stop()
                server.stop()
            }
        }
    }

    private fun order(
        number: Int,
        address: String,
    ) = EngineOrder(
        server = ENGINE,
        address = address,
        isLoad = number % 2 == 0,
        model = "m",
        adapter = "a$number",
        version = null,
        expectedOrders = number.toLong(),
    )

    private companion object {
        const val NAME = "order-warm-up"
        const val LOOPBACK = "127.0.0.1"
        const val ENGINE = "warm-up"
        const val FENCING_TOKEN = 1L
        val ACCEPTED = setOf(OrderReply.TAKEN, OrderReply.HOLDS)
        val TIMEOUT = 500.milliseconds

        /** Enough for the runtime to compile the code with its default thresholds, about 200 calls. */
        const val EXCHANGES = 320
        const val QUERY_EVERY = 4
        const val BATCH = 4
        val BATCH_PAUSE = 20.milliseconds
    }
}
