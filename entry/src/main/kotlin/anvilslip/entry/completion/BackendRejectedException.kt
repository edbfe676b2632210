package anvilslip.entry.completion

/** A model engine rejected a request without running it. */
public class BackendRejectedException(
    public val reason: Reason,
    message: String,
) : Exception(message) {
    /** Reason for the rejection. */
    public enum class Reason {
        /** The adapter version is not loaded on the engine. */
        NOT_LOADED,

        /** The engine has no free capacity or is shutting down. */
        BUSY,

        /** The engine considers the request invalid. */
        INVALID,

        /** The engine does not know the request to resume. */
        UNKNOWN_REQUEST,
    }
}
