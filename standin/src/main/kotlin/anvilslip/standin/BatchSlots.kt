package anvilslip.standin

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.PriorityQueue
import kotlin.coroutines.resume

/** Batch slots of an engine. The waiter with the lowest priority value gets the next free slot, in FIFO order among equals. */
internal class BatchSlots(
    private var free: Int,
) {
    private class Waiter(
        val priority: Long,
        val number: Long,
        val continuation: CancellableContinuation<Unit>,
    )

    private val waiters = PriorityQueue<Waiter>(compareBy({ it.priority }, { it.number }))
    private var nextNumber = 0L

    suspend fun <T> use(
        priority: Long,
        action: suspend () -> T,
    ): T {
        acquire(priority)
        try {
            return action()
        } finally {
            release()
        }
    }

    private suspend fun acquire(priority: Long): Unit =
        suspendCancellableCoroutine { continuation ->
            val acquired =
                synchronized(this) {
                    if (free > 0) {
                        free--
                        true
                    } else {
                        waiters += Waiter(priority, nextNumber++, continuation)
                        false
                    }
                }
            if (acquired) continuation.resume(Unit)
        }

    private fun release() {
        while (true) {
            val next =
                synchronized(this) {
                    val waiter = waiters.poll()
                    if (waiter == null) free++
                    waiter
                } ?: return
            if (next.continuation.isActive) {
                next.continuation.resume(Unit)
                return
            }
        }
    }
}
