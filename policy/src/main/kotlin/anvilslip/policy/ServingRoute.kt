package anvilslip.policy

import kotlin.time.Duration

/** Requests for one host and path prefix. */
public data class ServingRoute(
    val name: String,
    val host: String,
    /** Begins and ends with a slash. */
    val pathPrefix: String,
    val kind: RequestKind,
    /** True when a broken stream may go on at another server. */
    val resumable: Boolean = false,
    /** Time after which a request has its final answer. */
    val timeout: Duration,
    /** Time within which an answer should come, or the first event of a stream. */
    val target: Duration,
    /** 0 is the most urgent. */
    val priority: Int = 0,
    /** Services with their weights. */
    val split: List<WeightedService>,
    /** Servers to which one request may be sent. */
    val maxAttempts: Int = 1,
    /** True when no key is needed. */
    val isPublic: Boolean = false,
) {
    /** True when a request may run more than once. */
    public val isRetryable: Boolean get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable)

    /** The service for a request, by a [draw] from 0 until 1. */
    public fun pickService(draw: Double): String {
        var rest = draw * split.sumOf { it.weight }
        for (part in split) {
            rest -= part.weight
            if (rest < 0) return part.service
        }
        return split.last { it.weight > 0 }.service
    }
}
