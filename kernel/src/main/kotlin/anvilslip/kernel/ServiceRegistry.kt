package anvilslip.kernel

import java.util.concurrent.ConcurrentHashMap
import kotlin.reflect.KClass

/** Registry of the services of one process, by name. */
public class ServiceRegistry {
    private val services = ConcurrentHashMap<String, Service>()

    /**
     * Registers [service].
     *
     * @throws IllegalStateException if a service of this name is already registered
     */
    public fun register(service: Service) {
        val previous = services.putIfAbsent(service.name, service)
        check(previous == null) { "a service named '${service.name}' is already registered" }
    }

    /**
     * Returns the service registered as [name].
     *
     * @throws IllegalStateException if there is none or it is not of type [type]
     */
    public fun <T : Any> find(
        name: String,
        type: KClass<T>,
    ): T {
        val service = checkNotNull(services[name]) { "no service named '$name' is registered" }
        check(type.isInstance(service)) { "service '$name' is not of type ${type.simpleName}" }
        @Suppress("UNCHECKED_CAST")
        return service as T
    }

    /** Returns the service registered as [name], of type [T]. */
    public inline fun <reified T : Any> find(name: String): T = find(name, T::class)

    /** Names of all registered services, sorted. */
    public val names: List<String> get() = services.keys.sorted()
}
