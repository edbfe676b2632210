package anvilslip.gateway

import anvilslip.entry.http.AnswerBudget

/** Bounds of the memory of an instance behind seeds, in bytes. Their sum stays under the heap of the deploy file. */
public object MemoryBounds {
    /** Answers of servers at an entry instance. */
    public const val ENTRY_ANSWER_BYTES: Long = AnswerBudget.DEFAULT_CAPACITY_BYTES

    /** Answers of engines to the orders and queries of a control instance, which are small. */
    public const val CONTROL_ANSWER_BYTES: Long = 8L * 1024 * 1024
}
