package anvilslip.entry.caller

import anvilslip.entry.completion.CompletionRequest

/** An operation requested by a caller. */
public sealed interface CallerRequest {
    /** Generates a completion on a model engine. */
    public data class Complete(
        val completion: CompletionRequest,
        val chat: Boolean,
    ) : CallerRequest

    /** Lists the adapters that the caller may use. */
    public data object ListModels : CallerRequest

    /** Lists the instances that the caller should use. */
    public data class Resolve(
        val zone: String?,
        val affinity: String?,
    ) : CallerRequest

    /** A request to be forwarded to an application server. */
    public data class Service(
        val method: String,
        val path: String,
        val query: String,
        val contentType: String?,
        val body: ByteArray,
    ) : CallerRequest

    /** Checks whether this instance is ready. */
    public data object Health : CallerRequest
}
