package anvilslip.policy

import kotlin.time.Duration

/** Configuration of the requests for one host and path prefix. */
public data class ServingRoute(
    val name: String,
    val host: String,
    /** Path prefix that begins and ends with a slash. */
    val pathPrefix: String,
    val kind: RequestKind,
    /** True if an interrupted stream may be resumed on another server. */
    val resumable: Boolean = false,
    /** Time within which a request receives its final answer. */
    val timeout: Duration,
    /** Target time until the answer, or until the first event of a stream. */
    val target: Duration,
    /** 0 is the most urgent. */
    val priority: Int = 0,
    /** Services among which requests are distributed by weight. */
    val split: List<WeightedService>,
    /** Maximum number of servers to which one request is sent. */
    val maxAttempts: Int = 1,
    /** True if requests need no API key. */
    val isPublic: Boolean = false,
) {
    /** True if a request may run more than once. */
    public val isRetryable: Boolean get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable)

    /** Picks a service by weight; [draw] is a random number from 0 (inclusive) to 1 (exclusive). */
    public fun pickService(draw: Double): String {
        var remaining = draw * split.sumOf { it.weight }
        for (part in split) {
            remaining -= part.weight
            if (remaining < 0) return part.service
        }
        return split.last { it.weight > 0 }.service
    }
}
