package anvilslip.entry

/** A model engine refused a request without running it. */
public class BackendRejectedException(
    public val reason: Reason,
    message: String,
) : Exception(message) {
    /** Why. */
    public enum class Reason {
        /** The engine does not hold the adapter version. */
        NOT_LOADED,

        /** The engine is full or leaving. */
        BUSY,

        /** The engine finds the request invalid. */
        INVALID,

        /** The engine does not know the request to resume. */
        UNKNOWN_REQUEST,
    }
}
