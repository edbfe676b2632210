package anvilslip.settings

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Validated settings of an instance. */
public data class Settings(
    /** Name of this instance; one of [instances]. */
    val instance: String,
    /** Address that callers connect to. */
    val callers: Address,
    /** Address that operators connect to. */
    val operators: Address,
    /** Address that backend servers send announcements to. */
    val announcements: Address,
    /** All instances of the deployment, including this one. */
    val instances: List<InstanceSettings>,
    /** File with the secret that all instances share, at least 16 bytes. */
    val secretFile: Path,
    /** File with the token that authenticates operators; if null, anyone who can connect is accepted. */
    val operatorTokenFile: Path? = null,
    /** Folder for durable state; null on instances without a disk. */
    val dataFolder: Path? = null,
    /** Interval at which this instance polls the leader and reports to it. */
    val pollInterval: Duration = 250.milliseconds,
    /** Maximum age of the configuration with which an instance still serves requests with an API key. */
    val maxStaleness: Duration = 2000.milliseconds,
    val weightStore: WeightStoreSettings = WeightStoreSettings(),
    val requests: RequestSettings = RequestSettings(),
) {
    /** This instance. */
    public val self: InstanceSettings get() = instances.first { it.name == instance }

    /** Names of the instances that store the replicated state. */
    public val replicas: Set<String> get() = instances.filter { it.replica }.map { it.name }.toSet()
}
