package anvilslip.gateway

import anvilslip.entry.HttpClient
import anvilslip.entry.HttpHandler
import kotlin.time.Duration

/** How the outside world speaks to a [Gateway]. */
public interface GatewayDialects {
    /** Complete configurations of operators. */
    public val documents: DocumentDialect

    /** Requests of clients and answers of backend servers. */
    public val requests: RequestDialect

    /** Orders to engines in the name of [holder], sent through [client]. */
    public fun engineClient(
        client: HttpClient,
        holder: String,
    ): EngineClient

    /** Calls of operators and backend servers. */
    public fun control(operations: ControlOperations): HttpHandler

    /** Questions of clients for entry instances. */
    public fun directory(
        operations: ControlOperations,
        lifetime: Duration,
    ): HttpHandler

    /** Questions whether an entry instance is ready. */
    public fun readiness(isReady: () -> Boolean): HttpHandler
}
