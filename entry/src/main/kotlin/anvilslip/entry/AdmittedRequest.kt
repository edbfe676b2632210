package anvilslip.entry

import kotlin.time.Duration

/** A request that has been let in: whose it is, and how long it may wait. */
public data class AdmittedRequest(
    val requestId: String,
    val workspace: String,
    val key: String?,
    val serviceClass: String,
    val waitTarget: Duration,
    /** Monotonic time of arrival. */
    val arrivedAt: Duration,
) {
    /** Monotonic time by which the request should have its first byte. */
    val waitDeadline: Duration get() = arrivedAt + waitTarget
}
