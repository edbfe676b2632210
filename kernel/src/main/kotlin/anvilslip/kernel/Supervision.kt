package anvilslip.kernel

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Number of failures of a supervised part without progress in between after which the process ends. */
public const val MAX_PART_FAILURES: Int = 10

private val MIN_RESTART_DELAY = 100.milliseconds

/** A part is down for at most [MAX_PART_FAILURES] times this long before the process ends. */
private val MAX_RESTART_DELAY = 1.seconds
private const val LOGGED_FRAMES = 12
private val log = EventLogger("supervision")

/**
 * Launches [run] as a part that the process needs, named [part] in the log. If it fails with an exception or an error, it is called again
 * after a short delay. After a fatal error, or after [MAX_PART_FAILURES] failures without a call of `recordProgress` in between, the
 * error is left to the [FatalErrorHandler], which ends the process. The part ends when [run] returns or this scope is cancelled.
 */
public fun CoroutineScope.launchSupervised(
    part: String,
    run: suspend (recordProgress: () -> Unit) -> Unit,
): Job = launch { supervise(part, run) }

/** Launches a supervised part that calls [step], then waits for [interval], and so on. Each call that returns counts as progress. */
public fun CoroutineScope.launchPeriodically(
    part: String,
    interval: Duration,
    step: suspend () -> Unit,
): Job =
    launchSupervised(part) { recordProgress ->
        while (true) {
            step()
            recordProgress()
            delay(interval)
        }
    }

private suspend fun supervise(
    part: String,
    run: suspend (recordProgress: () -> Unit) -> Unit,
) {
    var failures = 0
    while (true) {
        try {
            return run { failures = 0 }
        } catch (e: Throwable) {
            if (e.isFatal) throw e
            // A timeout is thrown as a CancellationException too, but does not cancel this coroutine.
            currentCoroutineContext().ensureActive()
            failures++
            log.error("part_failed", "part" to part, "failures" to failures, "error" to e, "at" to e.stackTrace.take(LOGGED_FRAMES))
            if (failures >= MAX_PART_FAILURES) throw PartFailedError(part, failures, e)
        }
        delay(restartDelay(failures))
    }
}

private fun restartDelay(failures: Int): Duration = minOf(MIN_RESTART_DELAY * (1 shl (failures - 1)), MAX_RESTART_DELAY)
