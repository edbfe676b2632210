package anvilslip.policy

import kotlinx.serialization.Serializable

/** The live instances and backend servers known to the leader of [term]. */
@Serializable
public data class FleetView(
    val term: Long = 0,
    val version: Long = 0,
    val instances: List<InstanceView> = emptyList(),
    val backends: List<BackendView> = emptyList(),
)
