package anvilslip.entry.completion

import kotlin.time.Duration

/** An admitted request: its workspace, service class and wait target. */
public data class AdmittedRequest(
    val requestId: String,
    val workspace: String,
    val key: String?,
    val serviceClass: String,
    val waitTarget: Duration,
    /** Monotonic time of arrival. */
    val arrivedAt: Duration,
) {
    /** Monotonic time by which the first byte of the response is due. */
    val waitDeadline: Duration get() = arrivedAt + waitTarget
}
