package anvilslip.kernel

/** Component of a process with a lifecycle, registered in the [ServiceRegistry] under its [name]. */
public interface Service {
    /** Unique name within the process. */
    public val name: String

    /** Starts this service. Services installed earlier have been started already. */
    public suspend fun start() {}

    /** Stops this service and releases its resources. Called once; services are stopped in reverse order of start. */
    public suspend fun stop() {}
}
