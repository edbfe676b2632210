package anvilslip.entry.http

/**
 * Bounds the memory that the answers of servers take in this process, wherever they are kept: received and not read yet, collected to a
 * whole, or written to clients that have not taken them. If there is no room for more, the largest answer that is still arriving is given
 * up, those without a stated length first. Small answers may use all of the budget and larger ones three quarters, so that a few large ones
 * do not keep out the many small ones. Thread-safe.
 *
 * @param capacityBytes size of all answers together
 * @param onGiveUp called for each answer that is given up, with the memory that it took; must not block
 */
public class AnswerBudget(
    private val capacityBytes: Long = DEFAULT_CAPACITY_BYTES,
    private val onGiveUp: (heldBytes: Long) -> Unit = {},
) {
    /** Answers that have taken memory and may take more. */
    private val arriving = LinkedHashSet<AnswerMemory>()
    private var held = 0L

    /** Memory of all answers at present, in bytes. */
    public val heldBytes: Long @Synchronized get() = held

    /** Begins the account of an answer that is expected; [giveUp] releases its memory when another answer needs the room. */
    internal fun open(giveUp: () -> Unit): AnswerMemory = AnswerMemory(this, giveUp)

    /**
     * Adds [bytes] to [memory], if need be by giving up answers that are still arriving. Returns false if there is no room for them, or
     * [memory] was closed or given up, which is then done.
     */
    internal fun tryReserve(
        memory: AnswerMemory,
        bytes: Int,
    ): Boolean {
        while (true) {
            val victim =
                synchronized(this) {
                    if (memory.isClosed) return false
                    if (hasRoom(memory.heldBytes + bytes, bytes)) {
                        add(memory, bytes.toLong())
                        if (!memory.isComplete) arriving += memory
                        return true
                    }
                    (largestArriving(memory, bytes) ?: memory).also { it.isClosed = true }
                }
            onGiveUp(victim.heldBytes)
            victim.giveUp()
            if (victim === memory) return false
        }
    }

    private fun hasRoom(
        answerBytes: Long,
        bytes: Int,
    ): Boolean {
        val limit = if (answerBytes <= SMALL_ANSWER_BYTES) capacityBytes else capacityBytes - capacityBytes / SMALL_ANSWER_SHARE
        return held + bytes <= limit
    }

    /** The answer to give up so that [memory] can take [bytes] more; null if only smaller ones are left. */
    private fun largestArriving(
        memory: AnswerMemory,
        bytes: Int,
    ): AnswerMemory? {
        val size = memory.heldBytes + bytes

        fun sizeOf(answer: AnswerMemory) = if (answer === memory) size else answer.heldBytes

        fun isBounded(answer: AnswerMemory) = answer.hasStatedLength || answer.heldBytes <= SMALL_ANSWER_BYTES
        return arriving
            .filter { !it.isClosed && (!isBounded(it) || sizeOf(it) >= size) }
            .minWithOrNull(compareBy<AnswerMemory> { isBounded(it) }.thenByDescending(::sizeOf))
    }

    @Synchronized
    internal fun release(
        memory: AnswerMemory,
        bytes: Int,
    ) = add(memory, -minOf(bytes.toLong(), memory.heldBytes))

    /** Releases all of the memory but [bytes] that are still in use. */
    @Synchronized
    internal fun releaseAllBut(
        memory: AnswerMemory,
        bytes: Int,
    ) = add(memory, -maxOf(0L, memory.heldBytes - bytes))

    /** Takes [bytes] of [memory] out of its account; they count until they are closed. */
    @Synchronized
    internal fun split(
        memory: AnswerMemory,
        bytes: Long,
    ): HeldMemory {
        memory.heldBytes -= bytes
        return HeldMemory { synchronized(this) { held -= bytes } }
    }

    /** An answer that has arrived completely is delivered: it is not given up for another one. */
    @Synchronized
    internal fun complete(memory: AnswerMemory) {
        memory.isComplete = true
        arriving -= memory
    }

    @Synchronized
    internal fun close(memory: AnswerMemory) {
        memory.isClosed = true
        arriving -= memory
        add(memory, -memory.heldBytes)
    }

    private fun add(
        memory: AnswerMemory,
        bytes: Long,
    ) {
        memory.heldBytes += bytes
        held += bytes
    }

    public companion object {
        /** Default size of all answers together, in bytes. */
        public const val DEFAULT_CAPACITY_BYTES: Long = 32L * 1024 * 1024

        /** Memory of an answer that counts as small, in bytes. */
        internal const val SMALL_ANSWER_BYTES = 64 * 1024

        /** One part in this many is kept for small answers. */
        private const val SMALL_ANSWER_SHARE = 4
    }
}
