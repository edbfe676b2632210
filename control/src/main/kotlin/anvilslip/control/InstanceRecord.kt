package anvilslip.control

import anvilslip.policy.InstanceView
import kotlin.time.Duration

/**
 * The latest report of an instance, as kept by the leader.
 *
 * @property revision the configuration revision in force at the instance
 * @property lastReportAt monotonic time at which the leader received the report
 */
internal data class InstanceRecord(
    val view: InstanceView,
    val incarnation: String,
    val revision: Long,
    val lastReportAt: Duration,
)
