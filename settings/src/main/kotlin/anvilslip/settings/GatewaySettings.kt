package anvilslip.settings

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Settings of an entry or a control instance that finds the others through seeds. */
public data class GatewaySettings(
    /** Name of this instance in logs and orders. */
    val instance: String,
    /** IP address of this instance; its name between instances. */
    val host: String,
    val zone: String,
    val region: String,
    /** Port for traffic between instances, the same on all of them. */
    val peerPort: Int,
    /** Port on which metrics are served. */
    val metricsPort: Int,
    /** IP addresses of some control instances; a port behind one is ignored, since the peer port is the same everywhere. */
    val seeds: Set<String>,
    /** Where clients connect; null on an instance that serves none. */
    val clients: Address? = null,
    /** Where the readiness of this entry instance is asked for. */
    val readiness: Address? = null,
    /** Where operators and backend servers connect; null on an instance without control. */
    val control: Address? = null,
    /** Where clients ask which entry instances to use. */
    val directory: Address? = null,
    /** Folder for durable state; null on instances without a disk. */
    val dataFolder: Path? = null,
    /** True when the whole system starts for the first time, so that the seeds found the log. */
    val mayFound: Boolean = false,
    /** Control instances that may be lost at once with their disks. */
    val toleratedLosses: Int = 1,
    /** Secret that all instances share; null where the network between them is trusted. */
    val secretFile: Path? = null,
    /** How often backend servers report. */
    val heartbeat: Duration = 1.seconds,
    /** Time from the signal to stop until the process is killed. */
    val shutdownTime: Duration = 8.seconds,
    /** How long clients may keep the answer that names the entry instances. */
    val resolveLifetime: Duration = 2.seconds,
    /** Window, share and reserve of the retry budget that all instances share. */
    val retryWindow: Duration = 10.seconds,
    val retryShare: Double = 0.2,
    val retryReserve: Double = 50.0,
    /** How long orders of two leaders must lie apart. */
    val orderPause: Duration = 3000.milliseconds,
    /** True when backend servers refuse orders with an old fencing number. */
    val fencingChecked: Boolean = false,
) {
    /** True on an instance that holds a replica and directs the others. */
    public val isControl: Boolean get() = control != null
}
