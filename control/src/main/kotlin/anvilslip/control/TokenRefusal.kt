package anvilslip.control

import kotlin.time.Duration

/** Why tokens were not given. */
public sealed interface TokenRefusal {
    /** The workspace has used up its rate and burst; there will be enough after [retryAfter]. */
    public data class OverLimit(
        val retryAfter: Duration,
    ) : TokenRefusal

    /** The request needs more tokens than the burst of its workspace. */
    public data object OverBurst : TokenRefusal

    /** The owner of the limits cannot be reached. */
    public data object LeaderUnreachable : TokenRefusal
}
