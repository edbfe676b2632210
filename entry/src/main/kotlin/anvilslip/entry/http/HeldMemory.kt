package anvilslip.entry.http

import java.util.concurrent.atomic.AtomicBoolean

/** Memory of an [AnswerBudget] that a part of an answer takes until [close], which does nothing the second time. Thread-safe. */
public class HeldMemory internal constructor(
    private val onClose: () -> Unit,
) : AutoCloseable {
    private val isClosed = AtomicBoolean()

    override fun close() {
        if (isClosed.compareAndSet(false, true)) onClose()
    }
}
