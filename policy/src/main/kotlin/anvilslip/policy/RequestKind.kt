package anvilslip.policy

/** Delivery semantics of the requests of a route. */
public enum class RequestKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    AT_MOST_ONCE,

    /** Answered by an event stream; runs at most once unless the route is resumable. */
    STREAMING,
}
