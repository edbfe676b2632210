package anvilslip.gateway

import anvilslip.entry.HttpServerRequest
import kotlin.time.Duration

/** A request of a client, decoded. */
public class ClientRequest(
    /** The request as it came; method, target and body are passed on unchanged. */
    public val call: HttpServerRequest,
    /** ID of this attempt of the client; null when it gave none. */
    public val attemptId: String?,
    /** Host without a port. */
    public val host: String,
    public val apiKey: String?,
    /** How long the client waits; null when it did not say. */
    public val timeout: Duration?,
    public val model: String? = null,
    public val adapter: String? = null,
    public val promptTokens: Int = 0,
    /** Prompt and output tokens; null when they were not stated. */
    public val totalTokens: Long? = null,
    /** Last event that the client has of a stream it takes up again. */
    public val lastEventId: String? = null,
)
