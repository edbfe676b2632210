package anvilslip.kernel

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Manages the services of one process: starts them in the order of installation and stops them in reverse order. */
public class Kernel(
    public val registry: ServiceRegistry = ServiceRegistry(),
) {
    private val log = EventLogger("kernel")
    private var installed: PersistentList<Service> = persistentListOf()
    private var started: PersistentList<Service> = persistentListOf()

    /** Registers [service]; it is started after all services installed earlier. */
    public fun <T : Service> install(service: T): T {
        registry.register(service)
        installed = installed.add(service)
        return service
    }

    /** Starts all installed services. If one fails to start, stops those already started and rethrows the exception. */
    public suspend fun start() {
        try {
            for (service in installed) {
                service.start()
                started = started.add(service)
                log.debug("service_started", "service" to service.name)
            }
        } catch (e: Exception) {
            stop()
            throw e
        }
    }

    /** Stops all started services in reverse order. If one fails to stop, logs the failure and stops the others. */
    public suspend fun stop() {
        for (service in started.reversed()) {
            try {
                service.stop()
            } catch (e: Exception) {
                log.warn("service_stop_failed", "service" to service.name, "error" to e)
            }
        }
        started = persistentListOf()
    }
}
