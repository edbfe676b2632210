package anvilslip.kernel

import kotlin.time.Duration
import kotlin.time.Instant

/** Source of wall-clock and monotonic time. Pass it in wherever time is read, so that tests can use virtual time. */
public interface Clock {
    /** Returns the wall-clock time. It may jump, so use it for display and retention only. */
    public fun now(): Instant

    /** Returns monotonic time since an arbitrary origin, for leases and timeouts. */
    public fun elapsed(): Duration
}
