package anvilslip.policy

/** What may be done with the requests of a route. */
public enum class RequestKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    AT_MOST_ONCE,

    /** Answered by a stream of events; runs at most once unless it may be resumed. */
    STREAMING,
}
