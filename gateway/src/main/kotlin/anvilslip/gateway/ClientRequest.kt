package anvilslip.gateway

import anvilslip.entry.http.HttpServerRequest
import kotlin.time.Duration

/** A decoded client request. */
public class ClientRequest(
    /** The original HTTP request; its method, target and body are forwarded unchanged. */
    public val call: HttpServerRequest,
    /** The client's ID for this attempt; null when it sent none. */
    public val attemptId: String?,
    /** Requested host, without the port. */
    public val host: String,
    public val apiKey: String?,
    /** How long the client waits for the answer; null when it sent no deadline. */
    public val timeout: Duration?,
    public val model: String? = null,
    public val adapter: String? = null,
    public val promptTokens: Int = 0,
    /** Maximum number of output tokens; 0 when the client sent none. */
    public val maxOutputTokens: Int = 0,
    /** The client's estimate of the number of output tokens; null when it sent none. */
    public val lengthHint: Int? = null,
    /** Sum of prompt and output tokens; null when the client sent no token counts. */
    public val totalTokens: Long? = null,
    /** IDs of the parts of the prompt that other requests may share, in order; the part of this request alone is left out. */
    public val sharedPromptParts: List<String> = emptyList(),
    /** ID of the last event that the client received of the stream it resumes; null for a new stream. */
    public val lastEventId: String? = null,
    /** ID of the attempt that delivered the first event of the resumed stream; null if the client named none. */
    public val resumedAttemptId: String? = null,
)
