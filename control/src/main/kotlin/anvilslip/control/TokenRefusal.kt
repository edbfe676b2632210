package anvilslip.control

import kotlin.time.Duration

/** Why tokens were not granted. */
public sealed interface TokenRefusal {
    /** The workspace has used up its rate and burst; enough tokens will be available after [retryAfter]. */
    public data class OverLimit(
        val retryAfter: Duration,
    ) : TokenRefusal

    /** The request needs more tokens than the burst of its workspace, so it can never be granted. */
    public data object OverBurst : TokenRefusal

    /** The leader, which keeps the token buckets, cannot be reached. */
    public data object LeaderUnreachable : TokenRefusal
}
