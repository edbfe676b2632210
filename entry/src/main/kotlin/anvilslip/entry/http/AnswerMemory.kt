package anvilslip.entry.http

/** The memory that one answer takes of [budget]. Its state is guarded by the lock of [budget]. */
internal class AnswerMemory(
    private val budget: AnswerBudget,
    /** Releases what the answer takes, except for what is in use. */
    val giveUp: () -> Unit,
) {
    var heldBytes = 0L

    /** True once the answer may take no more memory. */
    var isClosed = false

    /** True once the answer has arrived completely. */
    var isComplete = false

    /** True if the head of the answer says how long its body is, so that it ends. */
    @Volatile
    var hasStatedLength = false

    /** Takes [bytes] more; returns false if there is no room for them, and the answer was given up. */
    fun tryReserve(bytes: Int): Boolean = budget.tryReserve(this, bytes)

    fun release(bytes: Int): Unit = budget.release(this, bytes)

    fun releaseAllBut(bytes: Int): Unit = budget.releaseAllBut(this, bytes)

    /** Hands [bytes] over to whoever keeps them longer than the answer. */
    fun split(bytes: Long): HeldMemory = budget.split(this, bytes)

    fun complete(): Unit = budget.complete(this)

    fun close(): Unit = budget.close(this)
}
