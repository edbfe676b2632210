package anvilslip.settings

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Settings of an entry or control instance that discovers the other instances through seeds. */
public data class GatewaySettings(
    /** Name of this instance in logs and in orders to backend servers. */
    val instance: String,
    /** IP address of this instance; it also identifies the instance to other instances. */
    val host: String,
    val zone: String,
    val region: String,
    /** Port for traffic between instances; the same on all instances. */
    val peerPort: Int,
    /** Port of the metrics endpoint. */
    val metricsPort: Int,
    /** IP addresses of control instances to contact first; a port in the setting is ignored, since all instances use [peerPort]. */
    val seeds: Set<String>,
    /** Address that clients connect to; null on an instance that serves no clients. */
    val clients: Address? = null,
    /** Address of the readiness endpoint of this entry instance. */
    val readiness: Address? = null,
    /** Address that operators and backend servers connect to; null on an instance that is not a control instance. */
    val control: Address? = null,
    /** Address where clients resolve the entry instances to use. */
    val directory: Address? = null,
    /** Folder for durable state; null on instances without a disk. */
    val dataFolder: Path? = null,
    /** True on the first start of the whole system, when the seeds create the replicated log. */
    val mayFound: Boolean = false,
    /** Number of control instances that may fail at the same time and lose their disks. */
    val toleratedLosses: Int = 1,
    /** File with the secret that all instances share; null if the network between them is trusted. */
    val secretFile: Path? = null,
    /** Interval at which backend servers report. */
    val heartbeat: Duration = 1.seconds,
    /** Time from the stop signal until the process is killed. */
    val shutdownTime: Duration = 8.seconds,
    /** How long clients may cache the resolved entry instances. */
    val resolveLifetime: Duration = 2.seconds,
    /** Window of the retry budget that all instances share; [retryShare] and [retryReserve] are its share and reserve. */
    val retryWindow: Duration = 10.seconds,
    val retryShare: Double = 0.2,
    val retryReserve: Double = 50.0,
    /** Minimum time between the orders of two successive leaders. */
    val orderPause: Duration = 3000.milliseconds,
    /** Factor applied to the rate limit of a cold server to get the hard bound for all instances together. */
    val coldOvershoot: Double = 1.0,
    /** Requests per second added to that bound. */
    val coldSlack: Double = 0.0,
    /** True if backend servers reject orders with an outdated fencing token. */
    val fencingChecked: Boolean = false,
    /** Processing capacity relative to the other entry instances; clients are distributed by it. */
    val capacity: Double = 1.0,
    /** True if entry instances may order loads of adapters while they cannot reach a majority of the control instances. */
    val delegateLoads: Boolean = false,
    /** Number of ready engines of a service from which its requests wait in order at the leader; 0 if they never do. */
    val queueFromEngines: Int = 0,
    /**
     * Port on which an entry instance passes requests on for others that cannot reach the backend servers; the same on all instances. Null
     * if none does.
     */
    val relayPort: Int? = null,
    /** All availability zones, to which an evacuation can apply; empty if any zone may be named. */
    val zones: Set<String> = emptySet(),
) {
    /** True on a control instance, which holds a replica and directs the other instances. */
    public val isControl: Boolean get() = control != null
}
