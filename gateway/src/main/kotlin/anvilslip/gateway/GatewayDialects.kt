package anvilslip.gateway

import anvilslip.entry.HttpHandler

/** How the outside world speaks to a [Gateway]. */
public interface GatewayDialects {
    public val documents: DocumentDialect
    public val requests: RequestDialect

    /** Orders to engines in the name of [holder], sent through [client]. */
    public fun engines(
        client: anvilslip.entry.HttpClient,
        holder: String,
    ): EngineOrders

    /** Calls of operators and backend servers. */
    public fun control(operations: ControlOperations): HttpHandler

    /** Questions of clients for entry instances. */
    public fun directory(
        operations: ControlOperations,
        lifetime: kotlin.time.Duration,
    ): HttpHandler

    /** Questions whether an entry instance is ready. */
    public fun readiness(isReady: () -> Boolean): HttpHandler
}
