package anvilslip.policy

import kotlinx.serialization.Serializable

/** How far a request has come at its server. */
@Serializable
public enum class RequestStep {
    /** The answer has begun, so the prompt has been read. */
    ANSWERING,

    /** The answer is complete, or the request was given up. */
    ENDED,

    /** The server did not run the request. */
    NOT_RUN,

    /** The server does not hold the adapter that it was thought to hold. */
    NOT_HELD,

    /** The server could not be reached. */
    UNREACHABLE,
}
