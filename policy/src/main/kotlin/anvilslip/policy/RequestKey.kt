package anvilslip.policy

/** Identifies a [DispatchRequest]: the entry instance that received it, and its number there. */
public data class RequestKey(
    val entry: String,
    val number: Long,
)
