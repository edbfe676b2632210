package anvilslip.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.io.IOException
import kotlin.time.Duration

/**
 * Runs [count] synthetic exchanges in batches of [size] at a time, with a [pause] after each batch that leaves the processor to heartbeats and
 * elections. [exchange] gets the number of the exchange, and returns whether it had the expected answer.
 *
 * @throws IOException if none had in several batches in a row, as where the loopback address cannot be used. The first batches alone may
 *   time out while their code is loaded.
 */
internal suspend fun runInBatches(
    count: Int,
    size: Int,
    pause: Duration,
    exchange: suspend (number: Int) -> Boolean,
): WarmUpWork.Result {
    var succeeded = 0
    var failedBatches = 0
    for (batch in (0 until count).chunked(size)) {
        val answered = coroutineScope { batch.map { async { exchange(it) } }.awaitAll() }.count { it }
        failedBatches = if (answered == 0) failedBatches + 1 else 0
        if (failedBatches == MAX_FAILED_BATCHES) throw IOException("no expected answer to the synthetic exchanges up to ${batch.last()}")
        succeeded += answered
        delay(pause)
    }
    return WarmUpWork.Result(count, succeeded)
}

private const val MAX_FAILED_BATCHES = 3
