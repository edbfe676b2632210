package anvilslip.wire

import anvilslip.state.Suspect
import kotlinx.serialization.Serializable

/** State of the system as known to the leader. */
@Serializable
public data class SystemStatus(
    val leader: String,
    val term: Long,
    val revision: Long,
    val instances: List<InstanceStatus>,
    val backends: List<BackendStatus>,
    val replicas: List<String>,
    val queuedLoads: Int,
    val suspects: List<Suspect>,
    val workspaces: List<WorkspaceStatus>,
) {
    /**
     * Status of one instance.
     *
     * @property revision the configuration revision in force at its last report
     * @property silentMillis milliseconds since its last report
     */
    @Serializable
    public data class InstanceStatus(
        val name: String,
        val zone: String,
        val address: String,
        val revision: Long,
        val draining: Boolean,
        val silentMillis: Long,
    )

    /**
     * Status of one backend server.
     *
     * @property loaded number of adapters loaded on it
     */
    @Serializable
    public data class BackendStatus(
        val server: String,
        val serves: String,
        val zone: String,
        val inFlight: Int,
        val loaded: Int,
        val slots: Int,
        val leaving: Boolean,
    )

    /**
     * Token bucket of one workspace.
     *
     * @property level tokens left in the bucket
     * @property outstanding tokens granted to instances but not known to be spent or returned
     */
    @Serializable
    public data class WorkspaceStatus(
        val name: String,
        val level: Double,
        val outstanding: Double,
    )
}
