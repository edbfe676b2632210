package anvilslip.gateway

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpHandler
import kotlin.time.Duration

/** Formats and protocols that a [Gateway] uses with operators, clients, backend servers and engines. */
public interface GatewayDialects {
    /** Format of configuration documents. */
    public val documents: DocumentDialect

    /** Format of client requests and of the responses of backend servers. */
    public val requests: RequestDialect

    /** Messages for synthetic exchanges. */
    public val samples: WarmUpSamples

    /** Creates a client that sends orders to engines through [client] and names [holder] as their sender. */
    public fun engineClient(
        client: HttpClient,
        holder: String,
    ): EngineClient

    /** Creates the handler for the calls of operators and backend servers. */
    public fun control(operations: ControlOperations): HttpHandler

    /** Creates the handler that resolves entry instances for clients; the result is valid for [lifetime]. */
    public fun directory(
        operations: ControlOperations,
        lifetime: Duration,
    ): HttpHandler

    /** Creates the handler of readiness checks. */
    public fun readiness(isReady: () -> Boolean): HttpHandler
}
