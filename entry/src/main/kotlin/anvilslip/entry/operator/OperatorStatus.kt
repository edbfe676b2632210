package anvilslip.entry.operator

import anvilslip.wire.SystemStatus
import kotlinx.serialization.Serializable

/** System status as returned to operators; [system] is null if no leader can be reached. */
@Serializable
public data class OperatorStatus(
    val system: SystemStatus?,
    val fresh: Boolean,
    val revision: Long,
    /** Service classes that miss their wait target on the queried instance, with the main cause. */
    val drifting: Map<String, String>,
)
